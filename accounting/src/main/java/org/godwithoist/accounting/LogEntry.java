package org.godwithoist.accounting;

/**
 * One change of a daemon's unsettled attempts, as registered at its replica.
 *
 * @param position number of the entry within an epoch, from 1 without gaps
 * @param kind what changed
 * @param attempt the attempt
 * @param ordinal number of the attempt in the order of closing; 0 unless it was closed
 * @param usage count of the target; {@link Usage#NONE} unless it was closed
 */
public record LogEntry(long position, Kind kind, Attempt attempt, long ordinal, Usage usage) {
    /** What changed, and what it does to the replica's copy. */
    public enum Kind {
        /** The attempt was opened. */
        OPENED {
            @Override
            void apply(HeldChain copy, LogEntry entry) {
                copy.opened(entry.attempt);
            }
        },
        /** The count of the attempt arrived. */
        CLOSED {
            @Override
            void apply(HeldChain copy, LogEntry entry) {
                copy.closed(new CountedAttempt(entry.ordinal, entry.attempt, entry.usage));
            }
        },
        /** The attempt certainly did not run. */
        CANCELLED {
            @Override
            void apply(HeldChain copy, LogEntry entry) {
                copy.cancelled(entry.attempt.id());
            }
        };

        abstract void apply(HeldChain copy, LogEntry entry);
    }
}
