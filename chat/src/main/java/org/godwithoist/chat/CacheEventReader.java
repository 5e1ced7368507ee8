package org.godwithoist.chat;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;
import org.godwithoist.routing.PlacementChange;
import org.godwithoist.routing.Placements;
import org.godwithoist.routing.TargetCostModel;

/**
 * Reads the cache events of engines and forwards them as hints: evictions to the daemon that keeps
 * the placement of the chat, stored tokens to this daemon's cost model. The daemon calls {@link
 * #poll} from one task at its own interval.
 */
public final class CacheEventReader {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final Supplier<Bundle> bundle;
    private final TargetDirectory targets;
    private final EngineClient engines;
    private final Placements placements;
    private final TargetCostModel costModel;
    private final Predicate<TargetId> isAssigned;
    private final Map<TargetId, Long> lastSequences = new ConcurrentHashMap<>();

    /**
     * Creates a reader; it starts no task.
     *
     * @param isAssigned engines that this daemon reads; each engine should have one reader in the
     *     fleet
     */
    public CacheEventReader(
            Supplier<Bundle> bundle,
            TargetDirectory targets,
            EngineClient engines,
            Placements placements,
            TargetCostModel costModel,
            Predicate<TargetId> isAssigned) {
        this.bundle = bundle;
        this.targets = targets;
        this.engines = engines;
        this.placements = placements;
        this.costModel = costModel;
        this.isAssigned = isAssigned;
    }

    /**
     * Reads the new events of each engine assigned to this daemon. Blocks for at most 1 s per
     * engine; failures are logged, and the events are read again by the next call.
     */
    public void poll() {
        for (Pool pool : bundle.get().pools().values()) {
            if (pool.kind() != Pool.Kind.ENGINE) {
                continue;
            }
            for (Target engine : targets.targets(pool.id())) {
                if (isAssigned.test(engine.id())) {
                    readEvents(engine);
                }
            }
        }
        lastSequences.keySet().removeIf(id -> targets.find(id).isEmpty());
    }

    /**
     * Records that an engine restarted: its cache is empty and its sequence numbers start again.
     */
    public void recordRestart(TargetId engine) {
        lastSequences.remove(engine);
        costModel.recordRestart(engine);
    }

    private void readEvents(Target engine) {
        long after = lastSequences.getOrDefault(engine.id(), 0L);
        try {
            List<EngineClient.CacheEvent> events =
                    Await.result(engines.cacheEvents(engine, after), CALL_TIMEOUT);
            for (EngineClient.CacheEvent e : events) {
                apply(engine, e);
                after = Math.max(after, e.sequence());
            }
            lastSequences.put(engine.id(), after);
        } catch (RuntimeException e) {
            LOG.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                    "cannot read the cache events of engine %s; reading them at the next poll:"
                            + " %s",
                    engine.id(), e);
        }
    }

    private void apply(Target engine, EngineClient.CacheEvent e) {
        if (e.stored()) {
            costModel.recordStoredEvent(engine.id(), e.sequence(), e.tokens());
            return;
        }
        placements.report(
                e.chat(),
                new PlacementChange(
                        PlacementChange.Kind.EVICTED, engine.id(), 0, Optional.empty()));
    }
}
