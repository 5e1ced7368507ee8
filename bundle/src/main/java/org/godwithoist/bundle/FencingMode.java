package org.godwithoist.bundle;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * Whether a target checks fencing numbers of orders; decides the wait before a new holder's first
 * order.
 */
public enum FencingMode {
    /** The target refuses orders with an old number, so a new holder need not wait. */
    CHECKED {
        @Override
        public Duration waitBeforeFirstOrder(Duration longestHolderDelay) {
            return Duration.ZERO;
        }
    },
    /**
     * The target ignores the number, so a new holder waits until the old one can no longer send.
     */
    IGNORED {
        @Override
        public Duration waitBeforeFirstOrder(Duration longestHolderDelay) {
            return longestHolderDelay;
        }
    };

    /**
     * Returns the wait between taking a lease and the first order.
     *
     * @param longestHolderDelay longest time for which a lapsed holder's order may still arrive
     */
    public abstract Duration waitBeforeFirstOrder(Duration longestHolderDelay);

    /** Returns the mode with the given name in bundles, or empty if there is none. */
    public static Optional<FencingMode> fromWireName(String name) {
        for (FencingMode m : values()) {
            if (m.wireName().equals(name)) {
                return Optional.of(m);
            }
        }
        return Optional.empty();
    }

    /** Returns the name used in bundles. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
