package org.godwithoist.accounting;

/**
 * Change of a daemon's unsettled attempts that is registered at its replica.
 *
 * @param position position of the entry within its epoch, from 1 without gaps
 * @param kind kind of change
 * @param attempt attempt that changed
 * @param ordinal ordinal of the {@link CountedAttempt}; 0 unless the attempt was closed
 * @param usage usage counted by the target; {@link Usage#NONE} unless the attempt was closed
 */
public record LogEntry(long position, Kind kind, Attempt attempt, long ordinal, Usage usage) {
    /** Kind of change and its effect on the replica's copy. */
    public enum Kind {
        /** The attempt was recorded before it is sent. */
        OPENED {
            @Override
            void apply(ChainCopy copy, LogEntry entry) {
                copy.opened(entry.attempt);
            }
        },
        /** The usage of the attempt was received. */
        CLOSED {
            @Override
            void apply(ChainCopy copy, LogEntry entry) {
                copy.closed(new CountedAttempt(entry.ordinal, entry.attempt, entry.usage));
            }
        },
        /** The attempt certainly did not run. */
        CANCELLED {
            @Override
            void apply(ChainCopy copy, LogEntry entry) {
                copy.cancelled(entry.attempt.id());
            }
        };

        abstract void apply(ChainCopy copy, LogEntry entry);
    }
}
