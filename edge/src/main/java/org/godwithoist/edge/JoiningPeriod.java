package org.godwithoist.edge;

import java.time.Duration;
import java.util.OptionalLong;
import org.godwithoist.core.time.Ticker;

/**
 * Time in which the other daemons may not count this one, because they have not read its row yet.
 * It ends a fixed time after the row is known to be in the list. Changed by one task; {@link
 * #isRunning()} is thread-safe.
 */
final class JoiningPeriod {
    private final Duration duration;
    private final Ticker ticker;

    /** Whether the row was missing from a list that contained other daemons. */
    private volatile boolean joined;

    /** Time from which all others count this daemon; empty while its row is not in the list. */
    private volatile OptionalLong knownFrom = OptionalLong.empty();

    private boolean missing;

    /**
     * Creates the period of a daemon that has not read the list yet.
     *
     * @param duration time after which all others have read a row that is in the list
     */
    JoiningPeriod(Duration duration, Ticker ticker) {
        this.duration = duration;
        this.ticker = ticker;
    }

    /** Returns whether the others may divide fleet-wide limits without this daemon. */
    boolean isRunning() {
        return joined && !isKnown();
    }

    private boolean isKnown() {
        OptionalLong from = knownFrom;
        return from.isPresent() && ticker.nanos() - from.getAsLong() >= 0;
    }

    /**
     * Records that this daemon's row is not in the list. Has no effect once the others count this
     * daemon, because they go on doing so.
     *
     * @param othersListed whether the list contains other daemons
     */
    void recordMissing(boolean othersListed) {
        if (isKnown()) {
            return;
        }
        missing = true;
        joined |= othersListed;
        knownFrom = OptionalLong.empty();
    }

    /** Records that this daemon's row is in the list, whatever its value. */
    void recordListed() {
        if (knownFrom.isPresent()) {
            return;
        }
        Duration untilRead = missing ? duration : Duration.ZERO;
        knownFrom = OptionalLong.of(ticker.nanos() + untilRead.toNanos());
    }
}
