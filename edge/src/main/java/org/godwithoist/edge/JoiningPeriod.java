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

    /** Whether the row was still in the list when the period had ended. */
    private boolean listedAtEnd;

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
     * Records that this daemon's row is not in the list. Has no effect if the row was in the list
     * for the whole period, because the others go on counting this daemon then.
     *
     * @param othersListed whether the list contains other daemons
     */
    void recordMissing(boolean othersListed) {
        if (listedAtEnd) {
            return;
        }
        missing = true;
        joined |= othersListed;
        knownFrom = OptionalLong.empty();
    }

    /**
     * Begins the period again if it has not ended, because the others may read the list late or
     * without this daemon's row: the store did not respond or was restored.
     */
    void restart() {
        if (knownFrom.isPresent() && !isKnown()) {
            knownFrom = OptionalLong.of(ticker.nanos() + duration.toNanos());
        }
    }

    /** Records that this daemon's row is in the list, whatever its value. */
    void recordListed() {
        if (knownFrom.isEmpty()) {
            Duration untilRead = missing ? duration : Duration.ZERO;
            knownFrom = OptionalLong.of(ticker.nanos() + untilRead.toNanos());
        }
        listedAtEnd |= isKnown();
    }
}
