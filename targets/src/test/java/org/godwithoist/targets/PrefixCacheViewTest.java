package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PrefixCacheViewTest {
    private static final int MAX_KEYS = 2000;

    private final PrefixCacheView prefixes = new PrefixCacheView();

    private static PrefixKey key(int number) {
        return new PrefixKey(number);
    }

    /** Scenario: there are more active chats than an engine can keep in its cache. */
    @Nested
    final class ManyKeys {
        /** Guards against lookups that refresh a prefix and keep it from being evicted. */
        @Test
        void lookupDoesNotCountAsUse() {
            for (int i = 0; i < MAX_KEYS; i++) {
                prefixes.recordUse(key(i), i);
            }
            assertTrue(prefixes.lastUse(key(0), MAX_KEYS).isPresent());
            prefixes.recordUse(key(MAX_KEYS), MAX_KEYS);
            assertTrue(prefixes.lastUse(key(0), MAX_KEYS).isEmpty());
        }

        /** Guards against the prefix of an active chat being evicted before those of idle chats. */
        @Test
        void usedPrefixIsKept() {
            for (int i = 0; i < MAX_KEYS; i++) {
                prefixes.recordUse(key(i), i);
            }
            prefixes.recordUse(key(0), MAX_KEYS);
            prefixes.recordUse(key(MAX_KEYS), MAX_KEYS);
            assertEquals(Optional.of((long) MAX_KEYS), prefixes.lastUse(key(0), MAX_KEYS));
            assertTrue(prefixes.lastUse(key(1), MAX_KEYS).isEmpty());
        }
    }

    @Nested
    final class UnusedPrefixes {
        /** Guards against transfers from an engine that evicted the prefix long ago. */
        @Test
        void prefixUnusedForTwoMinutesExpires() {
            prefixes.recordUse(key(1), 0);
            long ttl = Duration.ofMinutes(2).toNanos();
            assertTrue(prefixes.lastUse(key(1), ttl - 1).isPresent());
            assertTrue(prefixes.lastUse(key(1), ttl).isEmpty());
        }
    }
}
