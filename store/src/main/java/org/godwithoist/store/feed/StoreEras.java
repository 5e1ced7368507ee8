package org.godwithoist.store.feed;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.godwithoist.core.time.Ticker;

/**
 * The eras that the responses of the store state, as seen by all tasks of a daemon. A response of
 * an earlier era than the current one is late, or another store has answered, so it is rejected; if
 * only such responses arrive for {@link #MAX_STALE_TIME}, the earlier era becomes the current one,
 * because a daemon must not stop following its store. Thread-safe.
 */
public final class StoreEras {
    /** Longer than a response of the store may be under way. */
    static final Duration MAX_STALE_TIME = Duration.ofSeconds(4);

    /** What may be odd about the statement of an era. Constants are written to the log by name. */
    public enum Oddity {
        /** A response states no era. */
        MISSING,
        /** The statement is not a number. */
        MALFORMED,
        /** The era is lower than one that was stated before. */
        OLDER
    }

    /** Receives what the eras show; called by the task that received the response. */
    public interface Observer {
        /**
         * Called once for each era that follows another.
         *
         * @param previous era before; {@link StoreEra#UNKNOWN} for the first one
         */
        void eraChanged(StoreEra previous, StoreEra next);

        /**
         * Called for the first statement of each kind of oddity.
         *
         * @param detail what was stated
         */
        void oddEra(Oddity oddity, String detail);
    }

    private final Observer observer;
    private final Ticker ticker;
    private final Set<Oddity> reported = EnumSet.noneOf(Oddity.class);
    private StoreEra current = StoreEra.UNKNOWN;

    /** Time of the first stale response since the last one of the current era, in nanoseconds. */
    private OptionalLong staleSince = OptionalLong.empty();

    /** Creates an instance that has seen no response. */
    public StoreEras(Observer observer, Ticker ticker) {
        this.observer = observer;
        this.ticker = ticker;
    }

    /**
     * Records the era of a response of the store. A response without a valid era counts as one of
     * the current era.
     *
     * @param stated text that states the era; empty if the response has none
     * @return era of the response
     * @throws StaleEraException if the response must not be used
     */
    public StoreEra accept(Optional<String> stated) throws StaleEraException {
        if (stated.isEmpty()) {
            report(Oddity.MISSING, "");
            return current();
        }
        StoreEra era;
        try {
            era = StoreEra.parse(stated.get());
        } catch (IllegalArgumentException e) {
            report(Oddity.MALFORMED, String.valueOf(e.getMessage()));
            return current();
        }
        if (!adopt(era)) {
            report(Oddity.OLDER, "era " + era + " after era " + current());
            throw new StaleEraException(era, current());
        }
        return era;
    }

    /**
     * Records the era of a page that another daemon has relayed.
     *
     * @throws StaleEraException if the page must not be used
     */
    public void acceptRelayed(StoreEra era) throws StaleEraException {
        // The other daemon may be behind for longer than a response of the store.
        if (era.compareTo(current()) < 0) {
            throw new StaleEraException(era, current());
        }
        adopt(era);
    }

    private synchronized StoreEra current() {
        return current;
    }

    /** Returns whether a response of the era may be used. */
    private boolean adopt(StoreEra era) {
        StoreEra previous;
        synchronized (this) {
            if (era.compareTo(current) < 0 && !isStaleForLong()) {
                return false;
            }
            staleSince = OptionalLong.empty();
            previous = current;
            current = era;
        }
        if (!era.equals(previous)) {
            observer.eraChanged(previous, era);
        }
        return true;
    }

    private boolean isStaleForLong() {
        long now = ticker.nanos();
        if (staleSince.isEmpty()) {
            staleSince = OptionalLong.of(now);
        }
        return now - staleSince.getAsLong() >= MAX_STALE_TIME.toNanos();
    }

    private void report(Oddity oddity, String detail) {
        boolean isFirst;
        synchronized (this) {
            isFirst = reported.add(oddity);
        }
        if (isFirst) {
            observer.oddEra(oddity, detail);
        }
    }
}
