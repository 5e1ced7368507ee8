package org.godwithoist.rollout.lease;

import org.godwithoist.core.id.HostId;
import org.godwithoist.rollout.OrderId;
import org.godwithoist.rollout.Progress;
import org.godwithoist.rollout.VersionHistory;

/**
 * The row that makes a daemon the leader of an order. Times are on the store's clock.
 *
 * @param order order that is led
 * @param holder daemon that leads it
 * @param incarnation start time of that daemon, so that its next process does not hold the lease
 * @param renewal increases with each write of a term, so that each write can be recognised
 * @param startedAtMs time of the order
 * @param expiresAtMs time from which another daemon may take over
 * @param progress progress at the time of the write; its term is the fencing number
 * @param history outcomes of the orders of the service, this one included once it has ended
 */
public record LeaseRecord(
        OrderId order,
        HostId holder,
        long incarnation,
        long renewal,
        long startedAtMs,
        long expiresAtMs,
        Progress progress,
        VersionHistory history) {
    /** Creates a record without history. */
    public LeaseRecord(
            OrderId order,
            HostId holder,
            long incarnation,
            long renewal,
            long startedAtMs,
            long expiresAtMs,
            Progress progress) {
        this(
                order,
                holder,
                incarnation,
                renewal,
                startedAtMs,
                expiresAtMs,
                progress,
                VersionHistory.NONE);
    }

    /** Returns whether the other record was written by the same process in the same term. */
    public boolean sameHolder(LeaseRecord other) {
        return order.equals(other.order)
                && holder.equals(other.holder)
                && incarnation == other.incarnation
                && progress.term() == other.progress.term();
    }
}
