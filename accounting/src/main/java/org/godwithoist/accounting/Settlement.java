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
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);

    private final HostId self;
    private final Ledger ledger;
    private final ChainCopies copies;
    private final UsageStore store;
    private final TargetUsageClient targets;
    private final Map<ChainId, StoredRow> owned = new ConcurrentHashMap<>();
    private Optional<StoredRow> currentRow = Optional.empty();

    Settlement(
            HostId self,
            Ledger ledger,
            ChainCopies copies,
            UsageStore store,
            TargetUsageClient targets) {
        this.self = self;
        this.ledger = ledger;
        this.copies = copies;
        this.store = store;
        this.targets = targets;
    }

    // ---- chain of this daemon

    /** Writes the next row with all attempts that may be settled, if there are any. */
    synchronized void flush() {
        if (currentRow.isEmpty()) {
            currentRow = Optional.of(reload());
        }
        StoredRow last = currentRow.get();
        Optional<ChainRow> next = ledger.nextRow(last.row());
        if (next.isEmpty()) {
            return;
        }
        currentRow = Optional.empty();
        Optional<StoredRow> written = store.advance(last, next.get());
        if (written.isPresent()) {
            ledger.removeSettled(next.get());
            currentRow = written;
        } else {
            currentRow = Optional.of(reload());
        }
    }

    private StoredRow reload() {
        StoredRow stored = store.load(ledger.chain());
        if (stored.row().ownedByDaemon()) {
            ledger.removeSettled(stored.row());
        } else {
            LOG.atWarning().log(
                    "%s had taken over the usage of this daemon; reclaiming it",
                    stored.row().owner());
            ledger.reclaim(stored.row());
        }
        return stored;
    }

    /** Queries targets for the usage of this daemon's attempts whose response was lost. */
    void queryLostAttempts() {
        List<Attempt> lost = ledger.lostAttempts();
        Map<RequestId, TargetUsage> usageByAttempt = queryTargets(lost);
        for (Attempt a : lost) {
            TargetUsage targetUsage = usageByAttempt.get(a.id());
            if (targetUsage != null) {
                targetUsage.state().settle(ledger, a, targetUsage.usage());
            }
        }
    }

    // ---- chains of other daemons

    /** Takes over the chains whose daemon has handed over, restarted or failed. */
    void takeOver(Predicate<ChainId> restarted, Predicate<ChainId> unresponsive) {
        for (ChainCopies.Snapshot snapshot : copies.dueForTakeover(restarted, unresponsive)) {
            try {
                takeOver(snapshot);
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log(
                        "cannot take over the usage of %s; retrying in the next round",
                        snapshot.chain());
            }
        }
    }

    private void takeOver(ChainCopies.Snapshot snapshot) {
        StoredRow last = store.load(snapshot.chain());
        boolean outdated = last.row().epoch() > snapshot.takeoverEpoch();
        if (outdated) {
            copies.remove(snapshot);
        } else if (!snapshot.counted().isEmpty() || !snapshot.open().isEmpty()) {
            ChainRow next =
                    last.row()
                            .takeOver(
                                    self,
                                    snapshot.takeoverEpoch(),
                                    snapshot.counted(),
                                    snapshot.open());
            Optional<StoredRow> written = store.advance(last, next);
            if (written.isEmpty()) {
                return;
            }
            LOG.atInfo().log(
                    "took over the usage of %s with %d open attempts",
                    snapshot.chain(), next.unsettled().size());
            updateOwned(written.get());
            copies.remove(snapshot);
        } else {
            copies.remove(snapshot);
        }
        snapshot.owned().forEach(this::inheritChain);
    }

    /** Takes over a chain that the failed daemon had taken over from another one. */
    private void inheritChain(ChainId chain) {
        StoredRow last = store.load(chain);
        if (!last.row().ownedByDaemon() && !last.row().unsettled().isEmpty()) {
            store.advance(last, last.row().withOwner(self)).ifPresent(this::updateOwned);
        }
    }

    /** Queries targets for the usage of the open attempts of taken-over chains. */
    void settleOwned() {
        for (StoredRow stored : List.copyOf(owned.values())) {
            try {
                settleOwned(stored);
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log(
                        "cannot settle the open attempts of %s; retrying in the next round",
                        stored.row().chain());
            }
        }
    }

    private void settleOwned(StoredRow stored) {
        Map<RequestId, TargetUsage> usageByAttempt = queryTargets(stored.row().unsettled());
        if (usageByAttempt.isEmpty()) {
            return;
        }
        Optional<StoredRow> written =
                store.advance(stored, stored.row().withTargetUsage(usageByAttempt));
        if (written.isPresent()) {
            updateOwned(written.get());
            return;
        }
        StoredRow found = store.load(stored.row().chain());
        if (found.row().owner().equals(self)) {
            updateOwned(found);
        } else {
            owned.remove(stored.row().chain());
        }
    }

    private void updateOwned(StoredRow stored) {
        if (stored.row().unsettled().isEmpty()) {
            owned.remove(stored.row().chain());
        } else {
            owned.put(stored.row().chain(), stored);
        }
    }

    /** Returns the taken-over chains that still have open attempts. */
    List<ChainId> ownedChains() {
        return List.copyOf(owned.keySet());
    }

    /** Returns the open attempts of the taken-over chains. */
    Map<ChainId, List<Attempt>> ownedAttempts() {
        Map<ChainId, List<Attempt>> map = new HashMap<>();
        owned.forEach((chain, stored) -> map.put(chain, stored.row().unsettled()));
        return map;
    }

    // ---- targets

    /** Returns the final results by attempt; attempts without one are omitted. */
    private Map<RequestId, TargetUsage> queryTargets(Collection<Attempt> attempts) {
        Map<TargetId, List<RequestId>> byTarget =
                attempts.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Attempt::target,
                                        Collectors.mapping(Attempt::id, Collectors.toList())));
        List<CompletableFuture<Map<RequestId, TargetUsage>>> responses = new ArrayList<>();
        byTarget.forEach((target, ids) -> responses.add(targets.query(target, ids)));
        Map<RequestId, TargetUsage> usageByAttempt = new HashMap<>();
        for (CompletableFuture<Map<RequestId, TargetUsage>> response : responses) {
            try {
                usageByAttempt.putAll(Await.result(response, QUERY_TIMEOUT));
            } catch (RuntimeException e) {
                LOG.atFine().withCause(e).log(
                        "cannot query the usage of attempts from one of the targets; retrying in"
                                + " the next round");
            }
        }
        usageByAttempt.values().removeIf(c -> c.state() == TargetUsage.State.RUNNING);
        return usageByAttempt;
    }
}
