package org.godwithoist.accounting;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;

/**
 * Writes settlement rows of this daemon and, after a takeover, of failed daemons. A failed store
 * operation changes no state; the next round reads the row again and continues.
 */
final class Settlement {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(2);

    private final HostId self;
    private final Ledger ledger;
    private final HeldChains held;
    private final UsageStore store;
    private final TargetUsageClient targets;
    private final Map<ChainId, StoredRow> owned = new ConcurrentHashMap<>();
    private Optional<StoredRow> current = Optional.empty();

    Settlement(
            HostId self,
            Ledger ledger,
            HeldChains held,
            UsageStore store,
            TargetUsageClient targets) {
        this.self = self;
        this.ledger = ledger;
        this.held = held;
        this.store = store;
        this.targets = targets;
    }

    // ---- own chain

    /** Writes the next row with all attempts that may be settled, if there are any. */
    synchronized void flush() {
        if (current.isEmpty()) {
            current = Optional.of(reload());
        }
        StoredRow last = current.get();
        Optional<ChainRow> next = ledger.propose(last.row());
        if (next.isEmpty()) {
            return;
        }
        current = Optional.empty();
        Optional<StoredRow> written = store.advance(last, next.get());
        if (written.isPresent()) {
            ledger.settled(next.get());
            current = written;
        } else {
            current = Optional.of(reload());
        }
    }

    private StoredRow reload() {
        StoredRow stored = store.load(ledger.chain());
        if (stored.row().ownedByDaemon()) {
            ledger.settled(stored.row());
        } else {
            LOG.atWarning().log(
                    "%s took over the usage of this daemon, which takes it back",
                    stored.row().owner());
            ledger.takeBack(stored.row());
        }
        return stored;
    }

    /** Queries targets for the usage of own attempts whose response was lost. */
    void askForLost() {
        List<Attempt> lost = ledger.lostAttempts();
        Map<RequestId, TargetUsage> counts = ask(lost);
        for (Attempt a : lost) {
            TargetUsage count = counts.get(a.id());
            if (count != null) {
                count.state().settle(ledger, a, count.counted());
            }
        }
    }

    // ---- chains of other daemons

    /** Takes over the chains whose daemon has handed over, restarted or failed. */
    void takeOver(Predicate<ChainId> restarted, Predicate<ChainId> silent) {
        for (HeldChains.Copy copy : held.due(restarted, silent)) {
            try {
                takeOver(copy);
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log("cannot settle the usage of %s yet", copy.chain());
            }
        }
    }

    private void takeOver(HeldChains.Copy copy) {
        StoredRow last = store.load(copy.chain());
        boolean outdated = last.row().epoch() > copy.takeoverEpoch();
        if (outdated) {
            held.forget(copy);
        } else if (!copy.counted().isEmpty() || !copy.open().isEmpty()) {
            ChainRow next =
                    last.row().takeOver(self, copy.takeoverEpoch(), copy.counted(), copy.open());
            Optional<StoredRow> written = store.advance(last, next);
            if (written.isEmpty()) {
                return;
            }
            LOG.atInfo().log(
                    "took over the usage of %s with %d open attempts",
                    copy.chain(), next.unsettled().size());
            own(written.get());
            held.forget(copy);
        } else {
            held.forget(copy);
        }
        copy.owned().forEach(this::inherit);
    }

    /** Takes over a chain that the failed daemon had taken over from another one. */
    private void inherit(ChainId chain) {
        StoredRow last = store.load(chain);
        if (!last.row().ownedByDaemon() && !last.row().unsettled().isEmpty()) {
            store.advance(last, last.row().withOwner(self)).ifPresent(this::own);
        }
    }

    /** Queries targets for the usage of the open attempts of taken over chains. */
    void settleOwned() {
        for (StoredRow stored : List.copyOf(owned.values())) {
            try {
                settleOwned(stored);
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log(
                        "cannot settle the usage of %s yet", stored.row().chain());
            }
        }
    }

    private void settleOwned(StoredRow stored) {
        Map<RequestId, TargetUsage> counts = ask(stored.row().unsettled());
        if (counts.isEmpty()) {
            return;
        }
        Optional<StoredRow> written = store.advance(stored, stored.row().withCounts(counts));
        if (written.isPresent()) {
            own(written.get());
            return;
        }
        StoredRow found = store.load(stored.row().chain());
        if (found.row().owner().equals(self)) {
            own(found);
        } else {
            owned.remove(stored.row().chain());
        }
    }

    private void own(StoredRow stored) {
        if (stored.row().unsettled().isEmpty()) {
            owned.remove(stored.row().chain());
        } else {
            owned.put(stored.row().chain(), stored);
        }
    }

    /** Returns the taken over chains that still have open attempts. */
    List<ChainId> ownedChains() {
        return List.copyOf(owned.keySet());
    }

    /** Returns the open attempts of the taken over chains. */
    Map<ChainId, List<Attempt>> ownedAttempts() {
        Map<ChainId, List<Attempt>> map = new HashMap<>();
        owned.forEach((chain, stored) -> map.put(chain, stored.row().unsettled()));
        return map;
    }

    // ---- targets

    /** Returns the final results by attempt; attempts without one are omitted. */
    private Map<RequestId, TargetUsage> ask(Collection<Attempt> attempts) {
        Map<TargetId, List<RequestId>> byTarget =
                attempts.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Attempt::target,
                                        Collectors.mapping(Attempt::id, Collectors.toList())));
        List<CompletableFuture<Map<RequestId, TargetUsage>>> answers = new ArrayList<>();
        byTarget.forEach((target, ids) -> answers.add(targets.query(target, ids)));
        Map<RequestId, TargetUsage> counts = new HashMap<>();
        for (CompletableFuture<Map<RequestId, TargetUsage>> answer : answers) {
            try {
                counts.putAll(Await.result(answer, ASK_TIMEOUT));
            } catch (RuntimeException e) {
                LOG.atFine().withCause(e).log("a target did not tell its counts");
            }
        }
        counts.values().removeIf(c -> c.state() == TargetUsage.State.RUNNING);
        return counts;
    }
}
