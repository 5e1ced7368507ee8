package org.godwithoist.daemon;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.accounting.UsageAccounts;
import org.godwithoist.accounting.http.UsageRoutes;
import org.godwithoist.accounting.wire.PeerReplicaClient;
import org.godwithoist.accounting.wire.TableUsageStore;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.SlotAdmission;
import org.godwithoist.admission.wire.AdmissionWiring;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Pool;
import org.godwithoist.chat.ChatOutcome;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.daemon.http.HttpTargetLoadClient;
import org.godwithoist.daemon.http.HttpTargetUsageClient;
import org.godwithoist.membership.Target;
import org.godwithoist.orders.OrderDispatcher;
import org.godwithoist.orders.http.HttpEngineOrderClient;
import org.godwithoist.routing.RendezvousHash;
import org.godwithoist.services.Claims;
import org.godwithoist.services.ServiceProxy;
import org.godwithoist.services.http.HttpServiceClient;
import org.godwithoist.services.http.ServiceRoutes;
import org.godwithoist.services.wire.TableClaimStore;
import org.godwithoist.store.http.StoreClient;

/**
 * Components of a daemon that process requests of callers: admission, chats, services, usage and
 * engine orders.
 */
final class DataPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration TARGET_READ_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ENGINE_ORDER_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(8);

    /**
     * Number of daemons that may hold the order lease of a pool; the others do not read its record.
     */
    private static final int MAX_ORDER_CANDIDATES = 3;

    private final Vertx vertx;
    private final ControlPlane controlPlane;
    private final StoreClient storeClient;
    private final TargetLoadPoller loadPoller;
    private final SlotAdmission admission;
    private final UsageAccounts usage;
    private final ChatComponents chats;
    private final Claims claims;
    private final ServiceProxy services;
    private final Map<PoolId, Thread> orderDispatchers = new ConcurrentHashMap<>();

    DataPlane(
            Vertx vertx,
            ControlPlane controlPlane,
            StoreClient storeClient,
            ChatOutcome.Observer observer) {
        this.vertx = vertx;
        this.controlPlane = controlPlane;
        this.storeClient = storeClient;
        loadPoller =
                new TargetLoadPoller(
                        controlPlane.targets(),
                        new HttpTargetLoadClient(vertx, TARGET_READ_TIMEOUT, Ticker.SYSTEM),
                        Ticker.SYSTEM);
        admission =
                AdmissionWiring.create(
                        this::bundle,
                        controlPlane.members(),
                        controlPlane.targets(),
                        storeClient,
                        controlPlane.transport(),
                        loadPoller,
                        Ticker.SYSTEM);
        var usagePeers = new PeerReplicaClient(controlPlane.transport());
        usage =
                new UsageAccounts(
                        controlPlane.members(),
                        new TableUsageStore(storeClient),
                        usagePeers,
                        new HttpTargetUsageClient(
                                vertx, TARGET_READ_TIMEOUT, controlPlane.targets()),
                        Ticker.SYSTEM);
        usagePeers.serve(controlPlane.members().self(), usage);
        chats = new ChatComponents(vertx, controlPlane, admission, usage, observer);
        claims =
                new Claims(
                        new TableClaimStore(storeClient, storeClient),
                        controlPlane.members(),
                        InstantSource.system(),
                        Ticker.SYSTEM);
        services =
                new ServiceProxy(
                        this::bundle,
                        controlPlane.targets(),
                        admission,
                        new HttpServiceClient(vertx),
                        usage,
                        claims,
                        Ticker.SYSTEM);
    }

    /** Starts the tasks; the daemon must have a bundle and listen for peers. */
    void start() {
        loadPoller.start(this::isOwned);
        admission.start();
        usage.start();
        claims.start(() -> bundle().workspaces().keySet());
        chats.start();
        startOrderDispatchers();
        controlPlane.head().onAdopt(_ -> startOrderDispatchers());
    }

    void mountCallerRoutes(Router callers) {
        chats.mount(callers);
        new ServiceRoutes(controlPlane::bundle, services).mount(callers);
    }

    void mountOperatorRoutes(Router operators) {
        operators.get("/v1/usage").handler(controlPlane.auth());
        new UsageRoutes(usage).mount(operators);
    }

    // ---- planned stop

    /**
     * Rejects new chats, stops the order dispatchers and releases the owned shards; requests in
     * progress continue.
     */
    void drain() {
        chats.drain();
        orderDispatchers.values().forEach(Thread::interrupt);
        if (!admission.release(HANDOVER_TIMEOUT)) {
            LOG.atWarning().log(
                    "some shards were not released; other daemons take them over when the leases expire");
        }
    }

    /** Waits for work that continues without a caller; returns false if some is left. */
    boolean awaitIdle(Duration timeout) {
        return chats.awaitIdle(timeout) && services.drain(timeout);
    }

    /** Settles usage and stops the tasks. */
    void stop() {
        admission.close();
        claims.close();
        if (!usage.drain(HANDOVER_TIMEOUT)) {
            LOG.atWarning().log("some usage is neither settled nor replicated");
        }
        usage.close();
    }

    // ---- components

    private Bundle bundle() {
        return controlPlane.bundle().orElseThrow();
    }

    private boolean isOwned(Target t) {
        Pool pool = bundle().pools().get(t.pool());
        return pool != null && admission.owns(ShardId.of(pool, t.id()));
    }

    private void startOrderDispatchers() {
        for (Pool pool : bundle().pools().values()) {
            if (pool.kind() == Pool.Kind.ENGINE) {
                orderDispatchers.computeIfAbsent(pool.id(), this::startOrderDispatcher);
            }
        }
    }

    private Thread startOrderDispatcher(PoolId pool) {
        return new OrderDispatcher(
                        controlPlane.members().self().host(),
                        pool,
                        controlPlane::bundle,
                        controlPlane.targets(),
                        storeClient,
                        storeClient,
                        new HttpEngineOrderClient(vertx, ENGINE_ORDER_TIMEOUT),
                        this::incarnation,
                        () -> isOrderCandidate(pool),
                        Ticker.SYSTEM)
                .start();
    }

    private Optional<String> incarnation(TargetId target) {
        return loadPoller.incarnation(target);
    }

    private boolean isOrderCandidate(PoolId pool) {
        return RendezvousHash.rank(
                        pool.value(),
                        controlPlane.members().reachableMembers(),
                        m -> m.host().value())
                .stream()
                .limit(MAX_ORDER_CANDIDATES)
                .anyMatch(m -> m.equals(controlPlane.members().self()));
    }
}
