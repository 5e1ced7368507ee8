package org.godwithoist.daemon;

import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import java.time.Duration;
import org.godwithoist.accounting.UsageRecorder;
import org.godwithoist.admission.Admission;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.chat.CacheEventReader;
import org.godwithoist.chat.CacheMover;
import org.godwithoist.chat.ChatContext;
import org.godwithoist.chat.ChatOutcome;
import org.godwithoist.chat.ChatService;
import org.godwithoist.chat.ChatTimings;
import org.godwithoist.chat.http.ChatRoutes;
import org.godwithoist.chat.http.HttpEngineClient;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.routing.PlacementDirectory;
import org.godwithoist.routing.TargetCostModel;
import org.godwithoist.routing.wire.PeerPlacements;

/** Components of a daemon that process chat requests. */
final class ChatComponents {
    private static final Duration CACHE_EVENT_POLL_INTERVAL = Duration.ofMillis(500);
    private static final Duration TARGET_CHECK_INTERVAL = Duration.ofMillis(100);

    private final ControlPlane controlPlane;
    private final HttpEngineClient engines;
    private final ChatService service;
    private final org.godwithoist.routing.Router router;
    private final CacheMover cacheMover;
    private final CacheEventReader cacheEventReader;

    ChatComponents(
            Vertx vertx,
            ControlPlane controlPlane,
            Admission admission,
            UsageRecorder usage,
            ChatOutcome.Observer observer) {
        this.controlPlane = controlPlane;
        engines = new HttpEngineClient(vertx);
        var localPlacements =
                new PlacementDirectory(PlacementDirectory.DEFAULT_CAPACITY, Ticker.SYSTEM);
        var placements =
                new PeerPlacements(
                        controlPlane.members(), controlPlane.transport(), localPlacements);
        router =
                new org.godwithoist.routing.Router(
                        controlPlane.targets(),
                        admission,
                        new TargetCostModel(
                                Ticker.SYSTEM, () -> controlPlane.members().members().size()),
                        rebuild -> Tasks.start("candidate-ring", rebuild));
        service =
                new ChatService(
                        new ChatContext(
                                controlPlane.members().self().host(),
                                this::bundle,
                                controlPlane.targets(),
                                admission,
                                engines,
                                usage,
                                router,
                                placements,
                                Ticker.SYSTEM,
                                ChatTimings.DEFAULT,
                                observer));
        cacheMover =
                new CacheMover(
                        this::bundle,
                        controlPlane.targets(),
                        localPlacements,
                        router,
                        engines,
                        Ticker.SYSTEM);
        cacheEventReader =
                new CacheEventReader(
                        this::bundle,
                        controlPlane.targets(),
                        engines,
                        placements,
                        router.costModel(),
                        placements::readsCacheEvents);
    }

    /** Prepares the router for each pool and starts the tasks; the daemon must have a bundle. */
    void start() {
        bundle().pools().keySet().forEach(router::prepare);
        Tasks.start("cache-events", this::readCacheEvents);
        Tasks.start("target-changes", this::watchTargets);
    }

    void mount(Router callers) {
        new ChatRoutes(controlPlane::bundle, service).mount(callers);
    }

    /** Rejects new requests; requests in progress continue. */
    void drain() {
        service.drain();
    }

    /** Waits for work that continues without a caller; returns false if some is left. */
    boolean awaitIdle(Duration timeout) {
        return service.awaitIdle(timeout);
    }

    private Bundle bundle() {
        return controlPlane.bundle().orElseThrow();
    }

    private void readCacheEvents() {
        do {
            cacheEventReader.poll();
        } while (Tasks.sleep(CACHE_EVENT_POLL_INTERVAL));
    }

    private void watchTargets() {
        long lastVersion = -1;
        do {
            long version = controlPlane.targets().version();
            if (version != lastVersion) {
                lastVersion = version;
                engines.retain(id -> controlPlane.targets().find(id).isPresent());
                cacheMover.targetsChanged();
            }
        } while (Tasks.sleep(TARGET_CHECK_INTERVAL));
    }
}
