package org.godwithoist.store.feed;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/** The eras that the responses of the store state, as seen by all tasks. Thread-safe. */
public final class StoreEras {
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
    private final Set<Oddity> reported = EnumSet.noneOf(Oddity.class);
    private StoreEra current = StoreEra.UNKNOWN;

    /** Creates an instance that has seen no response. */
    public StoreEras(Observer observer) {
        this.observer = observer;
    }

    /**
     * Records the era of a response.
     *
     * @param stated text that states the era; empty if the response has none
     */
    public void record(Optional<String> stated) {
        if (stated.isEmpty()) {
            report(Oddity.MISSING, "");
            return;
        }
        try {
            record(StoreEra.parse(stated.get()));
        } catch (IllegalArgumentException e) {
            report(Oddity.MALFORMED, String.valueOf(e.getMessage()));
        }
    }

    private void record(StoreEra era) {
        StoreEra previous;
        synchronized (this) {
            previous = current;
            if (era.compareTo(previous) > 0) {
                current = era;
            }
        }
        int order = era.compareTo(previous);
        if (order > 0) {
            observer.eraChanged(previous, era);
        } else if (order < 0) {
            report(Oddity.OLDER, "era " + era + " after era " + previous);
        }
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
