package org.godwithoist.daemon;

import com.google.common.flogger.FluentLogger;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.time.Duration;
import org.godwithoist.chat.http.CallerServer;
import org.godwithoist.core.http.HttpServers;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.daemon.http.AdmitHandler;
import org.godwithoist.daemon.http.HealthRoutes;
import org.godwithoist.daemon.http.StatusRoutes;
import org.godwithoist.settings.DaemonSettings;
import org.godwithoist.store.http.StoreClient;

/** Router daemon: creates and connects its components, starts them and drains them. */
public final class Daemon {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration VERTX_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration READINESS_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Maximum deadline that a bundle permits, so that a drain covers the longest request. */
    private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(5);

    private static final int EVENT_LOOP_THREADS = 2;

    private final DaemonSettings settings;
    private final Vertx vertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOP_THREADS));
    private final Lifecycle lifecycle = new Lifecycle();
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final ControlPlane controlPlane;
    private final ChatOutcomeReporter outcomeReporter;
    private final DataPlane dataPlane;

    /** Creates a daemon that does not listen yet. */
    public Daemon(DaemonSettings settings) {
        this.settings = settings;
        var storeClient = new StoreClient(vertx, settings.platform(), STORE_TIMEOUT);
        this.controlPlane = new ControlPlane(settings, storeClient, System.currentTimeMillis());
        HostListMetrics.register(controlPlane.membership(), registry);
        this.outcomeReporter = new ChatOutcomeReporter(controlPlane, storeClient, registry);
        this.dataPlane = new DataPlane(vertx, controlPlane, storeClient, outcomeReporter);
    }

    /** Starts the daemon; returns when callers and operators can connect. */
    public void start() {
        controlPlane.start();
        listen(
                vertx.createHttpServer(HttpServers.http1Options()).requestHandler(operatorRouter()),
                settings.operators());
        listen(new CallerServer(vertx).create(callerRouter()), settings.callers());
        Tasks.start("readiness", this::awaitReady);
        LOG.atInfo().log(
                "daemon %s listens on %s for callers, on %s for operators and on %s for peers",
                settings.host(), settings.callers(), settings.operators(), settings.peers());
    }

    /**
     * Rejects new requests, waits for those in progress, hands over the shards and usage of this
     * daemon and stops it. Blocks until then, up to several minutes.
     */
    public void drain() {
        LOG.atInfo().log("draining with %d requests in progress", lifecycle.inProgress());
        lifecycle.drain();
        dataPlane.drain();
        if (!lifecycle.awaitIdle(DRAIN_TIMEOUT) || !dataPlane.awaitIdle(DRAIN_TIMEOUT)) {
            LOG.atWarning().log(
                    "drain incomplete, %d requests in progress", lifecycle.inProgress());
        }
        dataPlane.stop();
        outcomeReporter.stop();
        controlPlane.stop();
        lifecycle.stop();
        Await.result(vertx.close(), VERTX_TIMEOUT);
    }

    private Router operatorRouter() {
        Router router = Router.router(vertx);
        new HealthRoutes(lifecycle, registry).mount(router);
        new StatusRoutes(
                        settings,
                        lifecycle,
                        controlPlane.membership(),
                        controlPlane.head(),
                        controlPlane.transport().traffic(),
                        controlPlane.auth())
                .mount(router);
        controlPlane.mount(router);
        dataPlane.mountOperatorRoutes(router);
        outcomeReporter.mount(router, controlPlane.auth());
        return router;
    }

    private Router callerRouter() {
        Router router = Router.router(vertx);
        new HealthRoutes(lifecycle, registry).mount(router);
        router.route("/v1/*").handler(new AdmitHandler(lifecycle));
        router.route("/services/*").handler(new AdmitHandler(lifecycle));
        dataPlane.mountCallerRoutes(router);
        return router;
    }

    private void listen(HttpServer server, Endpoint endpoint) {
        Await.result(server.listen(endpoint.port(), endpoint.ip()), VERTX_TIMEOUT);
    }

    private void awaitReady() {
        while (!controlPlane.isReady()) {
            if (!Tasks.sleep(READINESS_CHECK_INTERVAL)) {
                return;
            }
        }
        dataPlane.start();
        outcomeReporter.start();
        lifecycle.serve();
        LOG.atInfo().log("daemon %s is ready to serve requests", settings.host());
    }
}
