package org.godwithoist.accounting;

import java.util.List;

/**
 * Message in which a daemon registers changes of its unsettled attempts at its replica.
 *
 * @param chain chain of the sender
 * @param epoch epoch of the replica's assignment; a higher one starts a new copy
 * @param snapshotEnd position of the last entry of the initial snapshot; the copy is incomplete
 *     until it is applied
 * @param completeEpoch last epoch whose replica had a complete copy
 * @param entries changes in the order of their positions; may be empty
 * @param settledThrough ordinal up to which counted attempts are settled
 * @param handOver whether the sender stops and the replica must settle the remaining attempts
 * @param owned chains that the sender took over and has not settled completely
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
    /** Makes unmodifiable copies of the lists. */
    public Registration {
        entries = List.copyOf(entries);
        owned = List.copyOf(owned);
    }

    /**
     * Response of the replica.
     *
     * @param accepted false if the sender must register all attempts again in a new epoch
     * @param applied position of the last applied entry
     */
    public record Receipt(boolean accepted, long applied) {}
}
