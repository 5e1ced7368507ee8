package org.godwithoist.edge;

import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.godwithoist.catalog.Catalog;
import org.godwithoist.catalog.CatalogState;
import org.godwithoist.catalog.RequestLimits;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Dispatcher;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.RetryShares;
import org.godwithoist.dispatch.ServingState;
import org.godwithoist.dispatch.ServingStatus;
import org.godwithoist.dispatch.StartupGate;
import org.godwithoist.dispatch.http.CallerConnection;
import org.godwithoist.dispatch.http.ConnectionLimit;
import org.godwithoist.dispatch.http.Dialect;
import org.godwithoist.dispatch.http.HttpTargetGateway;
import org.godwithoist.dispatch.http.StalledConnections;
import org.godwithoist.forwarding.Forwarding;
import org.godwithoist.forwarding.ForwardingCounts;
import org.godwithoist.forwarding.ForwardingPeers;
import org.godwithoist.forwarding.TargetReach;
import org.godwithoist.overload.OverloadControl;
import org.godwithoist.overload.OverloadLimits;
import org.godwithoist.peers.LoadExchange;
import org.godwithoist.peers.Member;
import org.godwithoist.peers.wire.UdpTransport;
import org.godwithoist.platform.HttpDialect;
import org.godwithoist.platform.StoreCalls;
import org.godwithoist.platform.StoreTable;
import org.godwithoist.platform.StreamTable;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.quarantine.QuarantineTable;
import org.godwithoist.relay.Leadership;
import org.godwithoist.settings.EdgeSettings;
import org.godwithoist.settings.RolloutBounds;
import org.godwithoist.store.feed.StoreEras;
import org.godwithoist.streams.OriginTask;
import org.godwithoist.streams.RecordedOrigins;
import org.godwithoist.targets.ColdLimit;
import org.godwithoist.targets.FleetShare;
import org.godwithoist.targets.FleetWork;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.RetryShare;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;

/** An edge daemon: creates, connects and starts its components. */
final class Edge implements Closeable {
    private static final Duration HOUSEKEEPING_INTERVAL = Duration.ofMillis(250);

    /** Time that the stop leaves the caller's listener to accept what the kernel has queued. */
    private static final Duration MAX_DRAIN = Duration.ofMillis(100);

    /** Connections to the store for take-ups of streams, many of which come together. */
    private static final int STREAM_LOOKUP_CLIENTS = 4;

    private static final int HTTP_OK = 200;
    private static final int HTTP_UNAVAILABLE = 503;
    private static final int MAX_PORT = 65_535;

    private final SettingsFile settingsFile;
    private final EdgeSettings settings;
    private final EventLog log;
    private final Ticker ticker = Ticker.SYSTEM;
    private final RandomGenerator random;
    private final CatalogState catalogs = new CatalogState();
    private final StartupGate gate = new StartupGate();
    private final ServingStatus serving = new ServingStatus();
    private final StalledConnections stalledCallers;
    private final MemoryBudget memory;
    private final EdgeListeners listeners;
    private final EdgeMetrics metrics;
    private final TargetDirectory directory;
    private final PeerLoads peerLoads;
    private final Quarantine quarantine;
    private final EraMonitor eraMonitor;
    private final StoreEras eras;
    private final StoreCalls calls = new StoreCalls();
    private final Optional<VersionRollout> rollout;
    private final RecordedOrigins streamOrigins;
    private final StoreFollowers followers;
    private final HttpTargetGateway gateway;
    private final Forwarding forwarding;
    private final Supervisor supervisor;
    private final FleetWork work;
    private final Dialect dialect;
    private final OverloadControl overload;
    private LoadExchange exchange;
    private Endpoint peerAddress;
    private volatile Supplier<FleetShare> fleetShare = () -> new FleetShare(1, 0);

    /**
     * Creates a daemon that has not been started.
     *
     * @param maxHeapBytes maximum size of the heap, which limits requests and connections
     * @param random thread-safe source for jitter and tie-breaks
     */
    Edge(SettingsFile settingsFile, EventLog log, long maxHeapBytes, RandomGenerator random) {
        this.settingsFile = settingsFile;
        settings = settingsFile.current();
        this.log = log;
        this.random = random;
        directory = new TargetDirectory(ticker, new LimitLog(log));
        peerLoads = new PeerLoads(ticker);
        work = new FleetWork(directory, settings.placementByWork(), ticker);
        quarantine = new Quarantine(log, ticker);
        stalledCallers = StalledConnections.ofHeap(maxHeapBytes);
        memory = MemoryBudget.ofHeap(maxHeapBytes, stalledCallers.memoryRelief());
        overload = createOverloadControl();
        supervisor = new Supervisor(this::logTaskFailure, ticker);
        listeners = new EdgeListeners(settings, maxHeapBytes, stalledCallers, supervisor, ticker);
        metrics =
                new EdgeMetrics(
                        quarantine,
                        memory,
                        directory,
                        work,
                        overload,
                        listeners.limits(),
                        stalledCallers,
                        this::otherMetrics);
        dialect = new HttpDialect(metrics.loadReportCounter());
        eraMonitor = new EraMonitor(log);
        eras = new StoreEras(eraMonitor, ticker);
        rollout = settings.bounds().rollout().map(this::createRollout);
        streamOrigins =
                new RecordedOrigins(
                        Stream.generate(this::streamTable).limit(STREAM_LOOKUP_CLIENTS).toList(),
                        () -> exchange.hearsOfVersions(),
                        log,
                        ticker);
        followers =
                new StoreFollowers(
                        new StoreFollowers.Dependencies(
                                settingsFile,
                                catalogs,
                                directory,
                                this::applyCatalog,
                                rollout,
                                streamOrigins::setTargets,
                                this::openGateIfReady,
                                streamOrigins::storeRegained,
                                eras,
                                calls,
                                log,
                                ticker,
                                random));
        gateway =
                new HttpTargetGateway(
                        dialect,
                        this::recordLeaving,
                        quarantine.waitingRequests(),
                        id -> catalogs.current().flatMap(c -> c.service(id)),
                        ticker);
        forwarding =
                new Forwarding(
                        new TargetReach(directory, gateway::responds, log, ticker, random),
                        new ForwardingPeers(
                                settings.failureDomain(),
                                h -> exchange.isSilent(h),
                                ticker,
                                random),
                        new ForwardingCounts());
    }

    /**
     * Opens all listeners and starts all tasks.
     *
     * @param metricsAddress listen address of the metrics endpoint
     */
    void start(Endpoint metricsAddress) throws IOException {
        FleetList fleet = startExchange();
        fleetShare = fleet::share;
        Dispatcher dispatcher = dispatcher(fleet);
        listeners.openCallers(
                connectionDependencies(
                        dispatcher, ConnectionLimit.Kind.CALLER, CallerConnection.Callers.CLIENTS));
        openDaemons(dispatcher);
        followers.start(new Leadership(exchange::leaderAddress, exchange::isLeader), supervisor);
        StatusServer statusServer =
                new StatusServer(
                        Map.of(
                                "/readiness",
                                this::readiness,
                                "/metrics",
                                new SharedPage(this::metricsResponse, ticker)),
                        listeners.idleStatusConnections(),
                        listeners.stalledStatusConnections(),
                        log,
                        ticker);
        listeners.openStatus(statusServer::serve, metricsAddress);
        fleet.start(supervisor);
        QuarantineTable quarantineTable =
                new QuarantineTable(
                        quarantine,
                        StoreTable.quarantine(settings.store(), eras, calls, ticker),
                        log,
                        InstantSource.system(),
                        ticker,
                        random);
        quarantineTable.start(supervisor);
        eraMonitor.addRestoreListener(fleet::storeRestored);
        eraMonitor.addRestoreListener(quarantineTable::storeRestored);
        rollout.ifPresent(r -> eraMonitor.addRestoreListener(r.fleet()::storeRestored));
        eraMonitor.addRestoreListener(streamOrigins::storeRestored);
        new OriginTask(
                        streamOrigins,
                        streamTable(),
                        () -> fleet.share().members(),
                        log,
                        ticker,
                        random)
                .start(supervisor);
        forwarding.reach().start(supervisor);
        supervisor.start("housekeeping", this::runHousekeeping);
        log.event("start").with("host", settings.host().value()).write();
    }

    private CallerConnection.Dependencies connectionDependencies(
            Dispatcher dispatcher, ConnectionLimit.Kind kind, CallerConnection.Callers callers) {
        return new CallerConnection.Dependencies(
                dispatcher,
                dialect,
                this::limits,
                serving,
                listeners.idleCallers(),
                stalledCallers,
                memory,
                listeners.limits().get(kind)::isWanted,
                callers,
                ticker);
    }

    /** Without this listener the daemon takes no requests of others, and serves its own. */
    private void openDaemons(Dispatcher dispatcher) {
        try {
            listeners.openDaemons(
                    forwardingAddress(peerAddress),
                    forwarding.peers()::isKnownAddress,
                    connectionDependencies(
                            dispatcher,
                            ConnectionLimit.Kind.DAEMON,
                            CallerConnection.Callers.DAEMONS));
        } catch (IOException e) {
            log.event("forwarding_not_available")
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
        }
    }

    /** Returns where a daemon takes requests of others: at the port behind that for messages. */
    private static Endpoint forwardingAddress(Endpoint peerAddress) {
        return new Endpoint(peerAddress.ip(), peerAddress.port() + 1);
    }

    private void updateMembers(Collection<Member> members) {
        exchange.updateMembers(members);
        forwarding
                .peers()
                .update(
                        members.stream()
                                .filter(m -> !m.host().equals(settings.host()))
                                .filter(m -> m.address().port() < MAX_PORT)
                                .map(
                                        m ->
                                                new ForwardingPeers.Peer(
                                                        m.host(),
                                                        m.domain(),
                                                        forwardingAddress(m.address())))
                                .toList());
    }

    /** Shuts the daemon down gracefully; returns when the process can exit. */
    void stop() {
        new GracefulShutdown(
                        serving,
                        listeners.idleCallers(),
                        listeners.limits().get(ConnectionLimit.Kind.CALLER)::open,
                        this::closeCallerListener,
                        gateway,
                        settingsFile.current().bounds().gracePeriod(),
                        log,
                        ticker)
                .run();
    }

    private void closeCallerListener() {
        try {
            listeners.callers().closeWhenDrained(MAX_DRAIN);
        } catch (IOException e) {
            log.event("close_failed").with("reason", String.valueOf(e.getMessage())).write();
        }
    }

    /** Returns the number of requests in progress, from their first byte to their response. */
    int requestsInProgress() {
        return serving.requestsInProgress();
    }

    /** Returns the address for callers, with the actual port if it was chosen by the system. */
    Endpoint callerAddress() {
        return listeners.callerAddress();
    }

    /** Returns the address of the readiness endpoint, with the actual port. */
    Endpoint readinessAddress() {
        return listeners.readinessAddress();
    }

    /** Returns the address of the metrics endpoint, with the actual port. */
    Endpoint metricsAddress() {
        return listeners.metricsAddress();
    }

    /**
     * Closes all listeners and the load exchange and ends all tasks, so that this daemon sends no
     * more requests and messages of its own. Open connections of callers are not closed.
     */
    @Override
    public void close() throws IOException {
        listeners.close();
        exchange.close();
        supervisor.close();
    }

    private VersionRollout createRollout(RolloutBounds bounds) {
        return new VersionRollout(
                settings,
                bounds,
                System.currentTimeMillis(),
                () -> exchange.leaderAddress().isEmpty(),
                eras,
                calls,
                supervisor,
                log,
                ticker,
                random);
    }

    /** Returns a client of its own for the rows of streams. */
    private StreamTable streamTable() {
        return new StreamTable(settings.store(), eras, calls, ticker);
    }

    private List<MetricSnapshot> otherMetrics() {
        List<MetricSnapshot> others = new ArrayList<>();
        others.add(StoreMetrics.of(calls.counts()));
        others.addAll(ForwardingMetrics.of(forwarding.reach(), forwarding.counts()));
        others.addAll(StreamMetrics.of(streamOrigins));
        rollout.ifPresent(r -> others.addAll(r.metrics(followers.rejectedOrders())));
        return others;
    }

    private FleetList startExchange() throws IOException {
        UdpTransport transport = UdpTransport.open(settings.peers());
        peerAddress = new Endpoint(settings.peers().ip(), transport.port());
        listeners.openRelay(followers.relayServer()::serve);
        Member self = new Member(settings.host(), settings.failureDomain(), peerAddress);
        exchange =
                new LoadExchange(
                        new LoadExchange.Dependencies(
                                self,
                                System.currentTimeMillis(),
                                transport,
                                directory,
                                peerLoads,
                                work,
                                quarantine,
                                overload,
                                rollout.map(VersionRollout::fleet),
                                streamOrigins,
                                followers::hasStoreContact,
                                supervisor,
                                log,
                                ticker));
        exchange.start();
        rollout.ifPresent(r -> r.fleet().start());
        return new FleetList(
                self,
                settings.bounds().assumedDaemons(),
                StoreTable.daemons(settings.store(), eras, calls, ticker),
                this::updateMembers,
                log,
                ticker,
                random);
    }

    private OverloadControl createOverloadControl() {
        return new OverloadControl(
                new OverloadControl.Dependencies(
                        directory,
                        peerLoads,
                        catalogs::outOfService,
                        () -> fleetShare.get(),
                        OverloadLimits.DEFAULT,
                        new CapacityLog(log),
                        ticker,
                        random));
    }

    private void applyCatalog(Catalog next) {
        streamOrigins.setLongestTimeLimit(next.longestTimeLimit());
        boolean adopted = catalogs.updateIfNewer(next);
        openGateIfReady();
        log.event("catalog")
                .with("version", next.version())
                .with("routes", next.routeCount())
                .with("adopted", adopted)
                .write();
    }

    private void openGateIfReady() {
        if (isReadyToServe()) {
            gate.open();
        }
    }

    private boolean isReadyToServe() {
        return catalogs.current().isPresent() && followers.hasTargets();
    }

    private Dispatcher dispatcher(FleetList fleet) {
        return new Dispatcher(
                new Dispatcher.Dependencies(
                        gate,
                        memory,
                        catalogs,
                        directory,
                        new Placement(
                                settings.failureDomain(),
                                this::coldLimit,
                                peerLoads,
                                settings.placementByWork() ? Optional.of(work) : Optional.empty(),
                                random),
                        overload,
                        quarantine,
                        gateway,
                        fleet::share,
                        new RetryShares(ticker, this::retryBudget),
                        rollout.map(VersionRollout::rollouts),
                        streamOrigins,
                        forwarding,
                        serving,
                        new RequestLog(log, metrics),
                        ticker,
                        random));
    }

    private void logTaskFailure(String name, Throwable cause, Duration backoff) {
        metrics.recordTaskFailure();
        log.event("task_failed")
                .with("task", name)
                .with("reason", String.valueOf(cause))
                .with("at", StackLocation.of(cause))
                .with("backoff_ms", backoff.toMillis())
                .write();
    }

    private void recordLeaving(Target target) {
        if (directory.recordLeaving(target)) {
            log.event("target_leaving").with("target", target.id().value()).write();
        }
    }

    private ColdLimit coldLimit() {
        EdgeSettings.Bounds bounds = settingsFile.current().bounds();
        return new ColdLimit(bounds.coldBurstFactor(), bounds.coldSlack());
    }

    private RetryShare.Budget retryBudget() {
        EdgeSettings.Bounds bounds = settingsFile.current().bounds();
        return new RetryShare.Budget(
                bounds.retryRatio(), bounds.retryWindow(), bounds.retryExtra());
    }

    private RequestLimits limits() {
        return catalogs.current().map(Catalog::limits).orElse(RequestLimits.DEFAULT);
    }

    private StatusServer.Response readiness() {
        boolean isReady =
                isReadyToServe()
                        && serving.state() == ServingState.SERVING
                        && !supervisor.isFailing();
        return isReady
                ? StatusServer.Response.of(HTTP_OK, "ready\n")
                : StatusServer.Response.of(HTTP_UNAVAILABLE, "not ready\n");
    }

    private StatusServer.Response metricsResponse() throws IOException {
        return StatusServer.Response.ok(metrics.toPrometheusText());
    }

    private void runHousekeeping() {
        while (Tasks.sleep(HOUSEKEEPING_INTERVAL)) {
            directory.removeMissing();
            directory.updateLimits();
            gateway.closeUnused();
            settingsFile.reloadIfChanged();
        }
    }
}
