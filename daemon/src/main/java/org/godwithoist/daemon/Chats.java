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
import org.godwithoist.chat.http.ChatFront;
import org.godwithoist.chat.http.HttpEngineClient;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.routing.PlacementDirectory;
import org.godwithoist.routing.TargetCostModel;
import org.godwithoist.routing.wire.PeerPlacements;

/** Components of a daemon that process chat requests. */
final class Chats {
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(500);
    private static final Duration CHANGE_INTERVAL = Duration.ofMillis(100);

    private final Control control;
    private final HttpEngineClient engines;
    private final ChatService service;
    private final org.godwithoist.routing.Router router;
    private final CacheMover mover;
    private final CacheEventReader events;

    Chats(
            Vertx vertx,
            Control control,
            Admission admission,
            UsageRecorder usage,
            ChatOutcome.Observer observer) {
        this.control = control;
        engines = new HttpEngineClient(vertx);
        var local = new PlacementDirectory(PlacementDirectory.DEFAULT_CAPACITY, Ticker.SYSTEM);
        var placements = new PeerPlacements(control.members(), control.transport(), local);
        router =
                new org.godwithoist.routing.Router(
                        control.targets(),
                        admission,
                        new TargetCostModel(
                                Ticker.SYSTEM, () -> control.members().members().size()),
                        r -> Tasks.start("candidate-ring", r));
        service =
                new ChatService(
                        new ChatContext(
                                control.members().self().host(),
                                this::bundle,
                                control.targets(),
                                admission,
                                engines,
                                usage,
                                router,
                                placements,
                                Ticker.SYSTEM,
                                ChatTimings.DEFAULT,
                                observer));
        mover =
                new CacheMover(
                        this::bundle, control.targets(), local, router, engines, Ticker.SYSTEM);
        events =
                new CacheEventReader(
                        this::bundle,
                        control.targets(),
                        engines,
                        placements,
                        router.costModel(),
                        placements::readsCacheEvents);
    }

    /** Prepares the router for each pool and starts the tasks; the daemon must have a bundle. */
    void start() {
        bundle().pools().keySet().forEach(router::prepare);
        Tasks.start("cache-events", this::followEvents);
        Tasks.start("target-changes", this::followTargets);
    }

    void mount(Router callers) {
        new ChatFront(control::bundle, service).mount(callers);
    }

    /** Rejects new requests; requests in progress continue. */
    void drain() {
        service.drain();
    }

    /** Waits for work that continues without a caller; returns false if some is left. */
    boolean awaitIdle(Duration patience) {
        return service.awaitIdle(patience);
    }

    private Bundle bundle() {
        return control.bundle().orElseThrow();
    }

    private void followEvents() {
        do {
            events.readOnce();
        } while (Tasks.sleep(EVENT_INTERVAL));
    }

    private void followTargets() {
        long seen = -1;
        do {
            long version = control.targets().version();
            if (version != seen) {
                seen = version;
                engines.retain(id -> control.targets().find(id).isPresent());
                mover.targetsChanged();
            }
        } while (Tasks.sleep(CHANGE_INTERVAL));
    }
}
