package org.godwithoist.bundle;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * Whether targets check the fencing numbers of orders; determines how long a new lease holder waits
 * before its first order.
 */
public enum FencingMode {
    /** Targets reject orders with an outdated number, so a new lease holder need not wait. */
    CHECKED {
        @Override
        public Duration waitBeforeFirstOrder(Duration maxHolderDelay) {
            return Duration.ZERO;
        }
    },
    /**
     * Targets ignore the number, so a new lease holder waits until no order of the previous one can
     * arrive any more.
     */
    IGNORED {
        @Override
        public Duration waitBeforeFirstOrder(Duration maxHolderDelay) {
            return maxHolderDelay;
        }
    };

    /**
     * Returns the time to wait between acquiring a lease and sending the first order.
     *
     * @param maxHolderDelay maximum time after its expiry in which orders of the previous lease
     *     holder may still arrive
     */
    public abstract Duration waitBeforeFirstOrder(Duration maxHolderDelay);

    /** Returns the mode with the given {@link #wireName}, or empty if there is none. */
    public static Optional<FencingMode> fromWireName(String name) {
        for (FencingMode m : values()) {
            if (m.wireName().equals(name)) {
                return Optional.of(m);
            }
        }
        return Optional.empty();
    }

    /** Returns the lower-case name used in bundles. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
