package org.godwithoist.accounting;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Settlement row with the settled usage of a chain. Totals are cumulative, so readers need only the
 * current row of each chain. Immutable.
 *
 * @param chain chain that the row belongs to
 * @param sequence number of the row, from 1; 0 for a chain without rows
 * @param owner daemon that wrote the row and writes the next one
 * @param epoch epoch of the replica assignment when the row was written; a replica of an earlier
 *     epoch must not take over the chain
 * @param through ordinal of the last counted attempt included in the totals
 * @param totals usage by workspace
 * @param takenOver attempts that were open when the owner took over the chain; empty in rows of the
 *     daemon itself
 */
public record ChainRow(
        ChainId chain,
        long sequence,
        HostId owner,
        long epoch,
        long through,
        Map<WorkspaceId, Usage> totals,
        List<TakenOverAttempt> takenOver) {
    /** Makes unmodifiable copies of the collections. */
    public ChainRow {
        totals = Map.copyOf(totals);
        takenOver = List.copyOf(takenOver);
    }

    /** Returns the initial state of a chain that has no stored row. */
    public static ChainRow none(ChainId chain) {
        return new ChainRow(chain, 0, chain.daemon(), 0, 0, Map.of(), List.of());
    }

    /** Returns whether the owner is the daemon of the chain itself and not a replica. */
    public boolean ownedByDaemon() {
        return owner.equals(chain.daemon());
    }

    /** Returns the taken-over attempts whose usage is still unknown. */
    public List<Attempt> unsettled() {
        return takenOver.stream()
                .filter(t -> t.state() == TakenOverAttempt.State.UNSETTLED)
                .map(TakenOverAttempt::attempt)
                .toList();
    }

    /**
     * Returns the next row written by the daemon of the chain itself.
     *
     * @param newEpoch epoch of the current replica assignment
     * @param counted counted attempts after {@link #through} in order, without gaps except for
     *     attempts that a replica settled
     * @param newThrough ordinal of the last attempt that the new row covers
     */
    public ChainRow append(long newEpoch, Collection<CountedAttempt> counted, long newThrough) {
        Map<WorkspaceId, Usage> sums = new HashMap<>(totals);
        counted.forEach(c -> sums.merge(c.attempt().workspace(), c.usage(), Usage::plus));
        return new ChainRow(
                chain, sequence + 1, chain.daemon(), newEpoch, newThrough, sums, List.of());
    }

    /**
     * Returns the row with which a replica takes over the chain. The usage of an attempt that an
     * earlier replica took over is added only if that replica has not settled it.
     *
     * @param replica new owner
     * @param newEpoch epoch of the replica's assignment
     * @param counted counted attempts in the replica's copy
     * @param open attempts without a count in the replica's copy
     */
    public ChainRow takeOver(
            HostId replica,
            long newEpoch,
            Collection<CountedAttempt> counted,
            Collection<Attempt> open) {
        Map<WorkspaceId, Usage> sums = new HashMap<>(totals);
        Map<RequestId, TakenOverAttempt> takenOverById = new TreeMap<>();
        takenOver.forEach(t -> takenOverById.put(t.attempt().id(), t));
        long last = through;
        for (CountedAttempt c : counted) {
            TakenOverAttempt earlier = takenOverById.get(c.attempt().id());
            boolean alreadyCounted =
                    earlier == null ? c.ordinal() <= through : !earlier.state().missingFromTotals();
            last = Math.max(last, c.ordinal());
            if (alreadyCounted) {
                continue;
            }
            sums.merge(c.attempt().workspace(), c.usage(), Usage::plus);
            if (earlier != null) {
                takenOverById.put(
                        c.attempt().id(), earlier.withState(TakenOverAttempt.State.SETTLED));
            }
        }
        for (Attempt a : open) {
            TakenOverAttempt earlier = takenOverById.get(a.id());
            // The daemon may have sent the attempt after the target reported that it did not run.
            if (earlier == null || earlier.state() == TakenOverAttempt.State.NOT_RUN) {
                takenOverById.put(
                        a.id(), new TakenOverAttempt(a, TakenOverAttempt.State.UNSETTLED));
            }
        }
        return new ChainRow(
                chain,
                sequence + 1,
                replica,
                Math.max(epoch, newEpoch),
                last,
                sums,
                new ArrayList<>(takenOverById.values()));
    }

    /**
     * Returns the next row of the same owner after targets reported the usage of taken over
     * attempts.
     *
     * @param usageByAttempt final results by attempt; attempts that are missing stay unsettled
     */
    public ChainRow withTargetUsage(Map<RequestId, TargetUsage> usageByAttempt) {
        Map<WorkspaceId, Usage> sums = new HashMap<>(totals);
        List<TakenOverAttempt> list = new ArrayList<>();
        for (TakenOverAttempt t : takenOver) {
            TargetUsage targetUsage = usageByAttempt.get(t.attempt().id());
            if (targetUsage == null || t.state() != TakenOverAttempt.State.UNSETTLED) {
                list.add(t);
                continue;
            }
            sums.merge(t.attempt().workspace(), targetUsage.usage(), Usage::plus);
            list.add(t.withState(targetUsage.state().takenOverState()));
        }
        return new ChainRow(chain, sequence + 1, owner, epoch, through, sums, list);
    }

    /** Returns the next row for a daemon that takes over from a failed owner. */
    public ChainRow withOwner(HostId newOwner) {
        return new ChainRow(chain, sequence + 1, newOwner, epoch, through, totals, takenOver);
    }

    /** Returns the ids of the taken-over attempts that the owner settled. */
    Set<RequestId> settledByOwner() {
        Set<RequestId> ids = new HashSet<>();
        for (TakenOverAttempt t : takenOver) {
            if (t.state() == TakenOverAttempt.State.SETTLED) {
                ids.add(t.attempt().id());
            }
        }
        return ids;
    }
}
