package org.godwithoist.chat;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;
import org.godwithoist.routing.PlacementChange;
import org.godwithoist.routing.PlacementDirectory;
import org.godwithoist.routing.RouteOption;
import org.godwithoist.routing.RouteRequest;
import org.godwithoist.routing.Router;

/**
 * Copies the prompt caches of chats to engines in service when their engine is taken out of
 * service, ahead of the next turn. Each daemon moves the chats whose placement it keeps, starting
 * with the most recently used, which are the most likely to continue soon.
 */
public final class CacheMover {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    /** Limits the load on the engines that receive the caches. */
    private static final int MAX_CONCURRENT_MOVES = 4;

    private static final int MAX_CHATS_PER_RUN = 10_000;

    /** Computing a shorter prompt again takes less time than moving its cache. */
    private static final long MIN_CACHED_TOKENS = 500;

    /** Consecutive failures after which the other chats of an engine are skipped. */
    private static final int MAX_FAILURES = 3;

    private final Supplier<Bundle> bundle;
    private final TargetDirectory targets;
    private final PlacementDirectory placements;
    private final Router router;
    private final EngineClient engines;
    private final Ticker ticker;
    private final AtomicBoolean changed = new AtomicBoolean();
    private final AtomicBoolean running = new AtomicBoolean();

    /**
     * Creates a mover.
     *
     * @param placements placements that this daemon keeps
     */
    public CacheMover(
            Supplier<Bundle> bundle,
            TargetDirectory targets,
            PlacementDirectory placements,
            Router router,
            EngineClient engines,
            Ticker ticker) {
        this.bundle = bundle;
        this.targets = targets;
        this.placements = placements;
        this.router = router;
        this.engines = engines;
        this.ticker = ticker;
    }

    /**
     * Signals that the target directory has changed. Returns immediately; caches are moved by a
     * separate task, of which at most one runs.
     */
    public void targetsChanged() {
        changed.set(true);
        if (running.compareAndSet(false, true)) {
            Tasks.start("cache-mover", this::run);
        }
    }

    private void run() {
        do {
            try {
                while (changed.compareAndSet(true, false)) {
                    moveAll();
                }
            } finally {
                running.set(false);
            }
        } while (changed.get() && running.compareAndSet(false, true));
    }

    private void moveAll() {
        List<PlacementDirectory.ChatPlacement> chats =
                placements.chatsCachedAt(this::isOutOfService, MAX_CHATS_PER_RUN);
        if (chats.isEmpty()) {
            return;
        }
        Semaphore permits = new Semaphore(MAX_CONCURRENT_MOVES);
        EngineFailures failures = new EngineFailures();
        int attempted = 0;
        for (PlacementDirectory.ChatPlacement chat : chats) {
            TargetId from = chat.placement().target();
            if (chat.placement().cachedTokens() < MIN_CACHED_TOKENS || failures.shouldSkip(from)) {
                continue;
            }
            permits.acquireUninterruptibly();
            Tasks.start(
                    "move-" + chat.chat(),
                    () -> {
                        try {
                            move(chat);
                            failures.recordSuccess(from);
                        } catch (RuntimeException e) {
                            failures.recordFailure(from);
                            LOG.atInfo().log(
                                    "cannot move the prompt cache of chat %s: %s", chat.chat(), e);
                        } finally {
                            permits.release();
                        }
                    });
            attempted++;
        }
        permits.acquireUninterruptibly(MAX_CONCURRENT_MOVES);
        LOG.atInfo().log("attempted to move the prompt caches of %d chats", attempted);
    }

    private boolean isOutOfService(TargetId id) {
        return targets.find(id).filter(t -> !t.serviceState().acceptsWork()).isPresent();
    }

    private void move(PlacementDirectory.ChatPlacement chat) {
        Target from = targets.find(chat.placement().target()).orElseThrow();
        Pool pool = bundle.get().pools().get(from.pool());
        if (pool == null) {
            return;
        }
        RouteRequest request =
                new RouteRequest(
                        chat.chat(),
                        pool,
                        chat.placement().cachedTokens(),
                        Optional.of(chat.placement()),
                        Set.of(),
                        Set.of());
        List<RouteOption> options = router.choose(request);
        if (options.isEmpty()) {
            return;
        }
        Target to = options.getFirst().target();
        long start = ticker.nanos();
        var export = Await.result(engines.exportCache(from, chat.chat()), CALL_TIMEOUT);
        Await.result(engines.importCache(to, export), CALL_TIMEOUT);
        router.costModel()
                .recordTransfer(export.tokens(), Duration.ofNanos(ticker.nanos() - start));
        boolean stillPlaced =
                placements
                        .lookup(chat.chat())
                        .filter(p -> p.target().equals(from.id()))
                        .isPresent();
        if (stillPlaced) {
            placements.report(
                    chat.chat(),
                    new PlacementChange(
                            PlacementChange.Kind.MOVED,
                            to.id(),
                            export.tokens(),
                            Optional.empty()));
        }
    }

    /** Counts consecutive failures of each engine and records those to skip. Thread-safe. */
    private static final class EngineFailures {
        private final Set<TargetId> skipped = new HashSet<>();
        private final Map<TargetId, Integer> counts = new HashMap<>();

        synchronized boolean shouldSkip(TargetId engine) {
            return skipped.contains(engine);
        }

        synchronized void recordSuccess(TargetId engine) {
            counts.remove(engine);
        }

        synchronized void recordFailure(TargetId engine) {
            if (counts.merge(engine, 1, Integer::sum) >= MAX_FAILURES) {
                skipped.add(engine);
            }
        }
    }
}
