package org.godwithoist.accounting;

import java.util.List;

/**
 * What a daemon registers at its replica.
 *
 * @param chain chain of the sender
 * @param epoch number of the assignment of this replica; a higher one starts a new copy
 * @param snapshotEnd position of the last entry that repeats earlier ones; the copy is incomplete
 *     before it is applied
 * @param completeEpoch last epoch whose replica had a complete copy
 * @param entries changes in order
 * @param settledThrough ordinal up to which counted attempts are settled
 * @param handOver whether the sender stops and the replica settles what is left
 * @param owned chains that the sender took over and has not finished
 */
public record Registration(
        ChainId chain,
        long epoch,
        long snapshotEnd,
        long completeEpoch,
        List<LogEntry> entries,
        long settledThrough,
        boolean handOver,
        List<ChainId> owned) {
    /** Copies the lists. */
    public Registration {
        entries = List.copyOf(entries);
        owned = List.copyOf(owned);
    }

    /**
     * Answer of the replica.
     *
     * @param accepted false if the sender has to register everything again in a new epoch
     * @param applied position up to which the entries are applied
     */
    public record Receipt(boolean accepted, long applied) {}
}
