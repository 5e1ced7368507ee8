package org.godwithoist.edge;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.Catalog;
import org.godwithoist.catalog.CatalogState;
import org.godwithoist.catalog.RequestLimits;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Dispatcher;
import org.godwithoist.dispatch.RetryShares;
import org.godwithoist.dispatch.ServingState;
import org.godwithoist.dispatch.ServingStatus;
import org.godwithoist.dispatch.StartupGate;
import org.godwithoist.dispatch.http.BodyMemory;
import org.godwithoist.dispatch.http.CallerConnection;
import org.godwithoist.dispatch.http.ConnectionListener;
import org.godwithoist.dispatch.http.Dialect;
import org.godwithoist.dispatch.http.HttpTargetGateway;
import org.godwithoist.dispatch.http.IdleConnections;
import org.godwithoist.peers.LoadExchange;
import org.godwithoist.peers.Member;
import org.godwithoist.peers.wire.UdpTransport;
import org.godwithoist.platform.HttpDialect;
import org.godwithoist.platform.OperatorRows;
import org.godwithoist.platform.RunnerRows;
import org.godwithoist.platform.StoreTable;
import org.godwithoist.relay.Cooldown;
import org.godwithoist.relay.Leadership;
import org.godwithoist.relay.RecentChanges;
import org.godwithoist.relay.RelayTiming;
import org.godwithoist.relay.RelayedFeed;
import org.godwithoist.relay.TableName;
import org.godwithoist.relay.wire.RelayConnection;
import org.godwithoist.relay.wire.RelayServer;
import org.godwithoist.settings.EdgeSettings;
import org.godwithoist.store.feed.TableFollower;
import org.godwithoist.targets.ColdLimit;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.RetryShare;
import org.godwithoist.targets.TargetDirectory;

/** One edge daemon and its parts. */
final class Edge implements Closeable {
    private static final long BODY_BYTES = 12L << 20;

    /** A store that fell silent and returned is noticed within this time and a second. */
    private static final Duration OPERATOR_WAIT = Duration.ofMillis(1500);

    private static final Duration TARGETS_WAIT = Duration.ofSeconds(10);

    private static final TableName OPERATOR = new TableName("operator");
    private static final TableName TARGETS = new TableName("targets");

    private static final Duration HOUSEKEEPING = Duration.ofMillis(250);
    private static final int READY = 200;
    private static final int NOT_READY = 503;

    private final SettingsFile file;
    private final EdgeSettings settings;
    private final EventLog log;
    private final Ticker ticker = Ticker.SYSTEM;
    private final RandomGenerator random;
    private final CatalogState catalogs = new CatalogState();
    private final StartupGate gate = new StartupGate();
    private final ServingStatus serving = new ServingStatus();
    private final IdleConnections idle = new IdleConnections();
    private final EdgeMetrics metrics = new EdgeMetrics();
    private final TargetDirectory directory;
    private final PeerLoads peers;
    private final FeedLog operatorFeed;
    private final FeedLog targetFeed;
    private final Cooldown storeAside;
    private final RecentChanges operatorChanges;
    private final RecentChanges targetChanges;
    private final HttpTargetGateway gateway;
    private final Dialect dialect = new HttpDialect();
    private ConnectionListener front;
    private ConnectionListener ready;
    private ConnectionListener metricsListener;
    private ConnectionListener relayListener;
    private LoadExchange exchange;
    private TableFollower targets;

    /**
     * Makes a daemon that has not started.
     *
     * @param random thread-safe source of jitter and tie-breaks
     */
    Edge(SettingsFile file, EventLog log, RandomGenerator random) {
        this.file = file;
        settings = file.current();
        this.log = log;
        this.random = random;
        directory = new TargetDirectory(ticker);
        peers = new PeerLoads(ticker);
        operatorFeed = new FeedLog(log, "operator", this::openIfKnown, this::storeReturned);
        targetFeed = new FeedLog(log, "targets", this::openIfKnown, () -> {});
        storeAside = new Cooldown(ticker);
        operatorChanges = new RecentChanges(ticker);
        targetChanges = new RecentChanges(ticker);
        gateway = new HttpTargetGateway(dialect, ticker);
    }

    /**
     * Starts all tasks.
     *
     * @param metricsAt address of the metrics page
     */
    void start(Endpoint metricsAt) throws IOException {
        FleetList fleet = startExchange();
        CallerConnection.Dependencies parts =
                new CallerConnection.Dependencies(
                        dispatcher(fleet),
                        dialect,
                        this::limits,
                        serving,
                        idle,
                        new BodyMemory(BODY_BYTES),
                        ticker);
        front =
                ConnectionListener.open(
                        settings.front(), "caller", s -> CallerConnection.serve(s, parts));
        followStore();
        PageServer pages =
                new PageServer(
                        Map.of("/readiness", this::readiness, "/metrics", this::metricsPage),
                        log,
                        ticker);
        ready = ConnectionListener.open(settings.ready(), "ready", pages::serve);
        metricsListener = ConnectionListener.open(metricsAt, "metrics", pages::serve);
        fleet.start();
        Tasks.start("housekeeping", this::keepHouse);
        log.event("start").with("host", settings.host().value()).write();
    }

    /** Stops the daemon without interrupting calls; returns when the process can end. */
    void stop() {
        new StopSequence(serving, idle, file.current().bounds().grace(), log, ticker).run();
    }

    /** Returns the address for callers, also where the system chose the port. */
    Endpoint front() {
        return new Endpoint(settings.front().ip(), front.port());
    }

    /** Returns the address of the readiness page. */
    Endpoint ready() {
        return new Endpoint(settings.ready().ip(), ready.port());
    }

    /** Returns the address of the metrics page. */
    Endpoint metrics() {
        return new Endpoint(settings.ready().ip(), metricsListener.port());
    }

    /** Stops listening. Connections and feeds end with the process. */
    @Override
    public void close() throws IOException {
        front.close();
        ready.close();
        metricsListener.close();
        relayListener.close();
        exchange.close();
    }

    private FleetList startExchange() throws IOException {
        UdpTransport transport = UdpTransport.open(settings.peers());
        Endpoint address = new Endpoint(settings.peers().ip(), transport.port());
        RelayServer relay =
                new RelayServer(
                        Map.of(OPERATOR, operatorChanges, TARGETS, targetChanges),
                        this::relayTiming,
                        log,
                        ticker);
        // Members ask at the TCP port that has the number of the UDP port. Where the settings leave
        // the ports to the system the two differ, and the daemon serves no members.
        relayListener = ConnectionListener.open(settings.peers(), "relay", relay::serve);
        Member self = new Member(settings.host(), settings.domain(), address);
        exchange =
                new LoadExchange(
                        new LoadExchange.Parts(
                                self,
                                System.currentTimeMillis(),
                                transport,
                                directory,
                                peers,
                                log,
                                ticker));
        exchange.start();
        return new FleetList(
                self,
                settings.bounds().fleet(),
                StoreTable.daemons(settings.store(), ticker),
                exchange::listed,
                log,
                ticker);
    }

    private void followStore() {
        RelayedFeed targetRows =
                relayed(TARGETS, StoreTable.runners(settings.store(), ticker), targetChanges);
        RelayedFeed operatorRows =
                relayed(OPERATOR, StoreTable.operator(settings.store(), ticker), operatorChanges);
        targets =
                new TableFollower(
                        targetRows,
                        new RunnerRows(directory, targetFeed),
                        new TableFollower.Timing(TARGETS_WAIT, targetRows::pace),
                        random);
        TableFollower operator =
                new TableFollower(
                        operatorRows,
                        new OperatorRows(this::catalog, catalogs::outOfService, operatorFeed),
                        new TableFollower.Timing(OPERATOR_WAIT, operatorRows::pace),
                        random);
        operator.start("follow-operator");
        targets.start("follow-targets");
    }

    private RelayedFeed relayed(TableName table, StoreTable store, RecentChanges recent) {
        return new RelayedFeed(
                new RelayedFeed.Parts(
                        table,
                        store,
                        recent,
                        new RelayConnection(ticker),
                        storeAside,
                        new Leadership(exchange::leader, exchange::leads),
                        this::relayTiming,
                        log,
                        ticker));
    }

    private RelayTiming relayTiming() {
        return new RelayTiming(file.current().bounds().news());
    }

    /** A call for the other table may have been lost with the one that was noticed. */
    private void storeReturned() {
        targets.refresh();
    }

    private void catalog(Catalog next) {
        boolean adopted = catalogs.offer(next);
        openIfKnown();
        log.event("catalog")
                .with("version", next.version())
                .with("routes", next.routeCount())
                .with("adopted", adopted)
                .write();
    }

    private void openIfKnown() {
        if (knowsAll()) {
            gate.open();
        }
    }

    private boolean knowsAll() {
        return catalogs.current().isPresent() && targetFeed.known();
    }

    private Dispatcher dispatcher(FleetList fleet) {
        return new Dispatcher(
                new Dispatcher.Dependencies(
                        gate,
                        catalogs,
                        directory,
                        new Placement(settings.domain(), this::coldLimit, peers, random),
                        gateway,
                        fleet::share,
                        new RetryShares(ticker, this::retryBudget),
                        serving,
                        new CallLog(log, metrics),
                        ticker,
                        random));
    }

    private ColdLimit coldLimit() {
        EdgeSettings.Bounds bounds = file.current().bounds();
        return new ColdLimit(bounds.coldFactor(), bounds.coldSlack());
    }

    private RetryShare.Budget retryBudget() {
        EdgeSettings.Bounds bounds = file.current().bounds();
        return new RetryShare.Budget(
                bounds.retryRatio(), bounds.retryWindow(), bounds.retryExtra());
    }

    private RequestLimits limits() {
        return catalogs.current().map(Catalog::limits).orElse(RequestLimits.DEFAULT);
    }

    private PageServer.Page readiness() {
        boolean ready = knowsAll() && serving.state() == ServingState.SERVING;
        return ready
                ? PageServer.Page.of(READY, "ready\n")
                : PageServer.Page.of(NOT_READY, "not ready\n");
    }

    private PageServer.Page metricsPage() throws IOException {
        return PageServer.Page.ok(metrics.text());
    }

    private void keepHouse() {
        while (Tasks.sleep(HOUSEKEEPING)) {
            directory.removeMissing();
            gateway.closeUnused();
            file.reloadIfChanged();
        }
    }
}
