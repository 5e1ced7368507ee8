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
final class HeldChains {
    /**
     * A daemon that registered within this time is alive even if the member list reports it as
     * unresponsive. Daemons register every 500 ms; a newly joined one may not be listed yet.
     */
    private static final Duration ALIVE = Duration.ofSeconds(5);

    private final Map<ChainId, HeldChain> chains = new HashMap<>();
    private final Ticker ticker;

    HeldChains(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Snapshot of a copy.
     *
     * @param takeoverEpoch epoch to use for a takeover
     * @param applied position of the last applied entry
     */
    record Copy(
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
        HeldChain held = chains.get(r.chain());
        boolean fresh = held == null || held.epoch() < r.epoch();
        if (!fresh && held.epoch() > r.epoch()) {
            return new Receipt(false, 0);
        }
        if (fresh) {
            boolean fromStart = r.entries().isEmpty() || r.entries().getFirst().position() == 1;
            if (!fromStart) {
                return new Receipt(false, 0);
            }
            held = new HeldChain(r.epoch());
            chains.put(r.chain(), held);
        }
        held.apply(r, ticker.nanos());
        return new Receipt(true, held.applied());
    }

    /**
     * Returns the copies to take over: their daemon handed over or restarted, or it is unresponsive
     * and has not registered recently.
     */
    synchronized List<Copy> due(Predicate<ChainId> restarted, Predicate<ChainId> silent) {
        long aliveSince = ticker.nanos() - ALIVE.toNanos();
        List<Copy> list = new ArrayList<>();
        chains.forEach(
                (id, held) -> {
                    boolean quiet = held.heardAtNanos() - aliveSince <= 0;
                    if (held.handedOver() || restarted.test(id) || (quiet && silent.test(id))) {
                        list.add(copy(id, held));
                    }
                });
        return list;
    }

    synchronized List<Copy> all() {
        List<Copy> list = new ArrayList<>();
        chains.forEach((id, held) -> list.add(copy(id, held)));
        return list;
    }

    /**
     * Removes a copy unless entries were applied since the snapshot was taken.
     *
     * @return whether the copy was removed
     */
    synchronized boolean forget(Copy copy) {
        HeldChain held = chains.get(copy.chain());
        boolean unchanged =
                held != null && held.epoch() == copy.epoch() && held.applied() == copy.applied();
        return unchanged && chains.remove(copy.chain(), held);
    }

    private static Copy copy(ChainId id, HeldChain held) {
        return new Copy(
                id,
                held.epoch(),
                held.takeoverEpoch(),
                held.applied(),
                List.copyOf(held.counted()),
                List.copyOf(held.open()),
                held.owned());
    }
}
