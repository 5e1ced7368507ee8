package org.godwithoist.daemon;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.godwithoist.accounting.MemoryUsageRecorder;
import org.godwithoist.admission.FixedShareAdmission;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.BundleParser;
import org.godwithoist.chat.ChatContext;
import org.godwithoist.chat.ChatOutcome;
import org.godwithoist.chat.ChatService;
import org.godwithoist.chat.ChatTimings;
import org.godwithoist.chat.http.CallerServer;
import org.godwithoist.chat.http.ChatFront;
import org.godwithoist.chat.http.HttpEngineClient;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.HostListDirectory;
import org.godwithoist.platform.Row;
import org.godwithoist.platform.Table;
import org.godwithoist.platform.http.PlatformClient;
import org.godwithoist.routing.PlacementDirectory;
import org.godwithoist.routing.TargetModels;
import org.godwithoist.settings.DaemonSettings;

/** One router daemon: builds the parts, connects them and starts to listen. */
public final class Daemon {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
    private static final int EVENT_LOOPS = 2;
    private static final int SLOTS_PER_TARGET = 4;
    private static final String HEAD_KEY = "head";

    private final DaemonSettings settings;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
    private final AtomicReference<Bundle> bundle = new AtomicReference<>();
    private final HostListDirectory targets = new HostListDirectory();

    /** Makes a daemon that does nothing yet. */
    public Daemon(DaemonSettings settings) {
        this.settings = settings;
    }

    /** Starts to listen; returns when callers can connect. */
    public void start() {
        var platform = new PlatformClient(vertx, settings.platform(), STORE_TIMEOUT);
        Tasks.start("platform-poll", () -> poll(platform));
        var admission = new FixedShareAdmission(SLOTS_PER_TARGET);
        var placements = new PlacementDirectory(PlacementDirectory.DEFAULT_CAPACITY, Ticker.SYSTEM);
        var router =
                new org.godwithoist.routing.Router(
                        targets,
                        admission,
                        new TargetModels(Ticker.SYSTEM, () -> 1),
                        r -> Tasks.start("ring", r));
        var service =
                new ChatService(
                        new ChatContext(
                                settings.host(),
                                bundle::get,
                                targets,
                                admission,
                                new HttpEngineClient(vertx),
                                new MemoryUsageRecorder(),
                                router,
                                placements,
                                Ticker.SYSTEM,
                                ChatTimings.DEFAULT,
                                ChatOutcome.Observer.NONE));
        Router callers = Router.router(vertx);
        new ChatFront(() -> Optional.ofNullable(bundle.get()), service).mount(callers);
        Endpoint endpoint = settings.callers();
        HttpServer server =
                Await.result(
                        new CallerServer(vertx)
                                .create(callers)
                                .listen(endpoint.port(), endpoint.ip()),
                        START_TIMEOUT);
        LOG.atInfo().log(
                "daemon %s listens for callers on %s:%d",
                settings.host(), endpoint.ip(), server.actualPort());
    }

    private void poll(PlatformClient platform) {
        do {
            try {
                targets.update(Await.result(platform.list(), STORE_TIMEOUT));
                Await.result(platform.read(Table.BUNDLE_HEAD, HEAD_KEY), STORE_TIMEOUT)
                        .map(Row::value)
                        .ifPresent(text -> bundle.set(BundleParser.parse("bundle", text)));
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log("cannot read from the platform");
            }
        } while (Tasks.sleep(POLL_INTERVAL));
    }
}
