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
 * The settled usage of a chain. Totals are cumulative, so that the current row of each chain is all
 * that a reader needs. Immutable.
 *
 * @param chain the chain
 * @param sequence number of the row, from 1; 0 stands for a chain without rows
 * @param owner daemon that wrote the row and writes the next one
 * @param epoch number of the assignment of a replica at the time of writing; a replica of an
 *     earlier assignment must not take over
 * @param through ordinal of the last counted attempt in the totals
 * @param totals usage by workspace
 * @param taken attempts that were open when the owner took over; empty in rows of the daemon itself
 */
public record ChainRow(
        ChainId chain,
        long sequence,
        HostId owner,
        long epoch,
        long through,
        Map<WorkspaceId, Usage> totals,
        List<TakenAttempt> taken) {
    /** Copies the collections. */
    public ChainRow {
        totals = Map.copyOf(totals);
        taken = List.copyOf(taken);
    }

    /** Returns the state of a chain that has no row yet. */
    public static ChainRow none(ChainId chain) {
        return new ChainRow(chain, 0, chain.daemon(), 0, 0, Map.of(), List.of());
    }

    /** Returns whether the daemon of the chain itself wrote this row. */
    public boolean ownedByDaemon() {
        return owner.equals(chain.daemon());
    }

    /** Returns the attempts whose count is still unknown. */
    public List<Attempt> unsettled() {
        return taken.stream()
                .filter(t -> t.state() == TakenAttempt.State.UNSETTLED)
                .map(TakenAttempt::attempt)
                .toList();
    }

    /**
     * Returns the next row of the daemon itself.
     *
     * @param newEpoch number of the current assignment of a replica
     * @param counted attempts after {@link #through}, in order and without gaps except for attempts
     *     that a replica settled
     * @param newThrough ordinal of the last attempt that the new row covers
     */
    public ChainRow append(long newEpoch, Collection<CountedAttempt> counted, long newThrough) {
        Map<WorkspaceId, Usage> sums = new HashMap<>(totals);
        counted.forEach(c -> sums.merge(c.attempt().workspace(), c.usage(), Usage::plus));
        return new ChainRow(
                chain, sequence + 1, chain.daemon(), newEpoch, newThrough, sums, List.of());
    }

    /**
     * Returns the row with which a replica takes over. An attempt that an earlier replica took over
     * is counted here only if that replica has not settled it.
     *
     * @param replica new owner
     * @param newEpoch assignment of the replica
     * @param counted counted attempts that the replica knows
     * @param open attempts without a count that the replica knows
     */
    public ChainRow takeOver(
            HostId replica,
            long newEpoch,
            Collection<CountedAttempt> counted,
            Collection<Attempt> open) {
        Map<WorkspaceId, Usage> sums = new HashMap<>(totals);
        Map<RequestId, TakenAttempt> left = new TreeMap<>();
        taken.forEach(t -> left.put(t.attempt().id(), t));
        long last = through;
        for (CountedAttempt c : counted) {
            TakenAttempt earlier = left.get(c.attempt().id());
            boolean known =
                    earlier == null ? c.ordinal() <= through : !earlier.state().countedByDaemon();
            last = Math.max(last, c.ordinal());
            if (known) {
                continue;
            }
            sums.merge(c.attempt().workspace(), c.usage(), Usage::plus);
            if (earlier != null) {
                left.put(c.attempt().id(), earlier.withState(TakenAttempt.State.SETTLED));
            }
        }
        for (Attempt a : open) {
            TakenAttempt earlier = left.get(a.id());
            // The daemon may have sent an attempt after the target said that it did not run.
            if (earlier == null || earlier.state() == TakenAttempt.State.NOT_RUN) {
                left.put(a.id(), new TakenAttempt(a, TakenAttempt.State.UNSETTLED));
            }
        }
        return new ChainRow(
                chain,
                sequence + 1,
                replica,
                Math.max(epoch, newEpoch),
                last,
                sums,
                new ArrayList<>(left.values()));
    }

    /** Returns the next row of the same owner with what targets said about taken attempts. */
    public ChainRow withCounts(Map<RequestId, TargetUsage> counts) {
        Map<WorkspaceId, Usage> sums = new HashMap<>(totals);
        List<TakenAttempt> list = new ArrayList<>();
        for (TakenAttempt t : taken) {
            TargetUsage count = counts.get(t.attempt().id());
            if (count == null || t.state() != TakenAttempt.State.UNSETTLED) {
                list.add(t);
                continue;
            }
            sums.merge(t.attempt().workspace(), count.counted(), Usage::plus);
            list.add(t.withState(count.state().taken()));
        }
        return new ChainRow(chain, sequence + 1, owner, epoch, through, sums, list);
    }

    /** Returns the next row after a new owner took over from an owner that died. */
    public ChainRow withOwner(HostId newOwner) {
        return new ChainRow(chain, sequence + 1, newOwner, epoch, through, totals, taken);
    }

    /** Returns the ids of the attempts that another daemon settled. */
    Set<RequestId> settledElsewhere() {
        Set<RequestId> ids = new HashSet<>();
        for (TakenAttempt t : taken) {
            if (t.state() == TakenAttempt.State.SETTLED) {
                ids.add(t.attempt().id());
            }
        }
        return ids;
    }
}
