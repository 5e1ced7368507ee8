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
final class ChainCopies {
    /**
     * A daemon that registered within this time is alive even if the member list reports it as
     * unresponsive. Daemons register every 500 ms; a newly joined one may not be listed yet.
     */
    private static final Duration LIVENESS_TIMEOUT = Duration.ofSeconds(5);

    private final Map<ChainId, ChainCopy> chains = new HashMap<>();
    private final Ticker ticker;

    ChainCopies(Ticker ticker) {
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
        ChainCopy copy = chains.get(r.chain());
        boolean newEpoch = copy == null || copy.epoch() < r.epoch();
        if (!newEpoch && copy.epoch() > r.epoch()) {
            return new Receipt(false, 0);
        }
        if (newEpoch) {
            boolean fromStart = r.entries().isEmpty() || r.entries().getFirst().position() == 1;
            if (!fromStart) {
                return new Receipt(false, 0);
            }
            copy = new ChainCopy(r.epoch());
            chains.put(r.chain(), copy);
        }
        copy.apply(r, ticker.nanos());
        return new Receipt(true, copy.applied());
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
                (id, copy) -> {
                    boolean registrationOverdue = copy.lastRegistrationNanos() - aliveSince <= 0;
                    if (copy.handedOver()
                            || restarted.test(id)
                            || (registrationOverdue && unresponsive.test(id))) {
                        list.add(snapshot(id, copy));
                    }
                });
        return list;
    }

    synchronized List<Snapshot> all() {
        List<Snapshot> list = new ArrayList<>();
        chains.forEach((id, copy) -> list.add(snapshot(id, copy)));
        return list;
    }

    /**
     * Removes a copy unless entries were applied since the snapshot was taken.
     *
     * @return whether the copy was removed
     */
    synchronized boolean remove(Snapshot snapshot) {
        ChainCopy copy = chains.get(snapshot.chain());
        boolean unchanged =
                copy != null
                        && copy.epoch() == snapshot.epoch()
                        && copy.applied() == snapshot.applied();
        return unchanged && chains.remove(snapshot.chain(), copy);
    }

    private static Snapshot snapshot(ChainId id, ChainCopy copy) {
        return new Snapshot(
                id,
                copy.epoch(),
                copy.takeoverEpoch(),
                copy.applied(),
                List.copyOf(copy.counted()),
                List.copyOf(copy.open()),
                copy.owned());
    }
}
