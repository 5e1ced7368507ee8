package org.godwithoist.accounting;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.godwithoist.accounting.Registration.Receipt;
import org.godwithoist.core.time.Ticker;

/** Copies of other daemons' chains for which this daemon is the replica. Thread-safe. */
final class ChainReplicas {
    /**
     * A daemon that registered within this time is alive even if the member list reports it as
     * unresponsive. Daemons register every 500 ms; a newly joined one may not be listed yet.
     */
    private static final Duration LIVENESS_TIMEOUT = Duration.ofSeconds(5);

    private final Map<ChainId, ChainReplica> chains = new HashMap<>();
    private final Ticker ticker;

    ChainReplicas(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Snapshot of a copy.
     *
     * @param takeoverEpoch epoch to use for a takeover
     * @param applied position of the last applied entry
     */
    record Snapshot(
            ChainId chain,
            long epoch,
            long takeoverEpoch,
            long applied,
            List<CountedAttempt> counted,
            List<Attempt> open,
            List<ChainId> owned) {}

    /**
     * Applies a registration. Rejects an outdated epoch and a new epoch whose first entry is
     * missing.
     */
    synchronized Receipt register(Registration r) {
        ChainReplica replica = chains.get(r.chain());
        boolean newEpoch = replica == null || replica.epoch() < r.epoch();
        if (!newEpoch && replica.epoch() > r.epoch()) {
            return new Receipt(false, 0);
        }
        if (newEpoch) {
            boolean fromStart = r.entries().isEmpty() || r.entries().getFirst().position() == 1;
            if (!fromStart) {
                return new Receipt(false, 0);
            }
            replica = new ChainReplica(r.epoch());
            chains.put(r.chain(), replica);
        }
        replica.apply(r, ticker.nanos());
        return new Receipt(true, replica.applied());
    }

    /**
     * Returns the copies to take over: their daemon handed over or restarted, or it is unresponsive
     * and has not registered recently.
     */
    synchronized List<Snapshot> dueForTakeover(
            Predicate<ChainId> restarted, Predicate<ChainId> unresponsive) {
        long aliveSince = ticker.nanos() - LIVENESS_TIMEOUT.toNanos();
        List<Snapshot> list = new ArrayList<>();
        chains.forEach(
                (id, replica) -> {
                    boolean registrationOverdue = replica.lastRegistrationNanos() - aliveSince <= 0;
                    if (replica.handedOver()
                            || restarted.test(id)
                            || (registrationOverdue && unresponsive.test(id))) {
                        list.add(snapshot(id, replica));
                    }
                });
        return list;
    }

    synchronized List<Snapshot> all() {
        List<Snapshot> list = new ArrayList<>();
        chains.forEach((id, replica) -> list.add(snapshot(id, replica)));
        return list;
    }

    /**
     * Removes a copy unless entries were applied since the snapshot was taken.
     *
     * @return whether the copy was removed
     */
    synchronized boolean remove(Snapshot snapshot) {
        ChainReplica replica = chains.get(snapshot.chain());
        boolean unchanged =
                replica != null
                        && replica.epoch() == snapshot.epoch()
                        && replica.applied() == snapshot.applied();
        return unchanged && chains.remove(snapshot.chain(), replica);
    }

    private static Snapshot snapshot(ChainId id, ChainReplica replica) {
        return new Snapshot(
                id,
                replica.epoch(),
                replica.takeoverEpoch(),
                replica.applied(),
                List.copyOf(replica.counted()),
                List.copyOf(replica.open()),
                replica.owned());
    }
}
