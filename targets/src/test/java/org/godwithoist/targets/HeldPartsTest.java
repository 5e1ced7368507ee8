package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HeldPartsTest {
    private static final int MOST_KEYS = 2000;

    private final HeldParts parts = new HeldParts();

    private static PromptKey key(int number) {
        return new PromptKey(number);
    }

    /** Pattern: there are more active chats than an engine can keep in its cache. */
    @Nested
    final class ManyKeys {
        /** Guards against lookups that refresh a prefix and keep it from being evicted. */
        @Test
        void lookUpDoesNotCountAsUse() {
            for (int i = 0; i < MOST_KEYS; i++) {
                parts.used(key(i), i);
            }
            assertTrue(parts.lastUse(key(0), MOST_KEYS).isPresent());
            parts.used(key(MOST_KEYS), MOST_KEYS);
            assertTrue(parts.lastUse(key(0), MOST_KEYS).isEmpty());
        }

        /** Guards against the prefix of an active chat being evicted before those of idle chats. */
        @Test
        void useKeepsParts() {
            for (int i = 0; i < MOST_KEYS; i++) {
                parts.used(key(i), i);
            }
            parts.used(key(0), MOST_KEYS);
            parts.used(key(MOST_KEYS), MOST_KEYS);
            assertEquals(Optional.of((long) MOST_KEYS), parts.lastUse(key(0), MOST_KEYS));
            assertTrue(parts.lastUse(key(1), MOST_KEYS).isEmpty());
        }
    }

    @Nested
    final class IdleParts {
        /** Guards against transfers from an engine that evicted the prefix long ago. */
        @Test
        void partsNotUsedForTwoMinutesAreGivenUp() {
            parts.used(key(1), 0);
            long life = Duration.ofMinutes(2).toNanos();
            assertTrue(parts.lastUse(key(1), life - 1).isPresent());
            assertTrue(parts.lastUse(key(1), life).isEmpty());
        }
    }
}
