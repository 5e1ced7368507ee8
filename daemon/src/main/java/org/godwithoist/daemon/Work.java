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
import org.godwithoist.accounting.wire.TableUsageStore;
import org.godwithoist.accounting.wire.UsagePeers;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.SlotAdmission;
import org.godwithoist.admission.wire.AdmissionWiring;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Pool;
import org.godwithoist.chat.ChatOutcome;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.daemon.http.HttpLoadClient;
import org.godwithoist.daemon.http.HttpTargetCounts;
import org.godwithoist.membership.Target;
import org.godwithoist.orders.OrderDispatcher;
import org.godwithoist.orders.http.HttpEngineOrderClient;
import org.godwithoist.routing.RendezvousHash;
import org.godwithoist.services.Claims;
import org.godwithoist.services.ServiceCalls;
import org.godwithoist.services.http.HttpServiceClient;
import org.godwithoist.services.http.ServiceFront;
import org.godwithoist.services.wire.TableClaimStore;
import org.godwithoist.store.http.StoreClient;

/**
 * Components of a daemon that process requests of callers: admission, chats, services, usage and
 * engine orders.
 */
final class Work {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(8);

    /**
     * Number of daemons that may hold the order lease of a pool; the others do not read its record.
     */
    private static final int ORDER_CANDIDATES = 3;

    private final Vertx vertx;
    private final Control control;
    private final StoreClient platform;
    private final TargetProbes probes;
    private final SlotAdmission admission;
    private final UsageAccounts usage;
    private final Chats chats;
    private final Claims claims;
    private final ServiceCalls services;
    private final Map<PoolId, Thread> dispatchers = new ConcurrentHashMap<>();

    Work(Vertx vertx, Control control, StoreClient platform, ChatOutcome.Observer observer) {
        this.vertx = vertx;
        this.control = control;
        this.platform = platform;
        probes =
                new TargetProbes(
                        control.targets(),
                        new HttpLoadClient(vertx, CALL_TIMEOUT, Ticker.SYSTEM),
                        Ticker.SYSTEM);
        admission =
                AdmissionWiring.create(
                        this::bundle,
                        control.members(),
                        control.targets(),
                        platform,
                        control.transport(),
                        probes,
                        Ticker.SYSTEM);
        var usagePeers = new UsagePeers(control.transport());
        usage =
                new UsageAccounts(
                        control.members(),
                        new TableUsageStore(platform),
                        usagePeers,
                        new HttpTargetCounts(vertx, CALL_TIMEOUT, control.targets()),
                        Ticker.SYSTEM);
        usagePeers.serve(control.members().self(), usage);
        chats = new Chats(vertx, control, admission, usage, observer);
        claims =
                new Claims(
                        new TableClaimStore(platform, platform),
                        control.members(),
                        InstantSource.system(),
                        Ticker.SYSTEM);
        services =
                new ServiceCalls(
                        this::bundle,
                        control.targets(),
                        admission,
                        new HttpServiceClient(vertx),
                        usage,
                        claims,
                        Ticker.SYSTEM);
    }

    /** Starts the tasks; the daemon must have a bundle and listen for peers. */
    void start() {
        probes.start(this::isOwned);
        admission.start();
        usage.start();
        claims.start(() -> bundle().workspaces().keySet());
        chats.start();
        startDispatchers();
        control.head().onAdopt(f -> startDispatchers());
    }

    void mountCallers(Router callers) {
        chats.mount(callers);
        new ServiceFront(control::bundle, services).mount(callers);
    }

    void mountOperators(Router operators) {
        operators.get("/v1/usage").handler(control.auth());
        new UsageRoutes(usage).mount(operators);
    }

    // ---- planned stop

    /** Rejects new requests and releases the owned shards; requests in progress continue. */
    void drain() {
        chats.drain();
        dispatchers.values().forEach(Thread::interrupt);
        if (!admission.release(HANDOVER_TIMEOUT)) {
            LOG.atWarning().log("some shards were not given up; they are taken over by lease");
        }
    }

    /** Waits for work that continues without a caller; returns false if some is left. */
    boolean awaitIdle(Duration patience) {
        return chats.awaitIdle(patience) && services.drain(patience);
    }

    /** Settles usage and stops the tasks. */
    void stop() {
        admission.close();
        claims.close();
        if (!usage.drain(HANDOVER_TIMEOUT)) {
            LOG.atWarning().log("some usage is neither settled nor at the replica");
        }
        usage.close();
    }

    // ---- parts

    private Bundle bundle() {
        return control.bundle().orElseThrow();
    }

    private boolean isOwned(Target t) {
        Pool pool = bundle().pools().get(t.pool());
        return pool != null && admission.owns(ShardId.of(pool, t.id()));
    }

    private void startDispatchers() {
        for (Pool pool : bundle().pools().values()) {
            if (pool.kind() == Pool.Kind.ENGINE) {
                dispatchers.computeIfAbsent(pool.id(), this::startDispatcher);
            }
        }
    }

    private Thread startDispatcher(PoolId pool) {
        return new OrderDispatcher(
                        control.members().self().host(),
                        pool,
                        control::bundle,
                        control.targets(),
                        platform,
                        platform,
                        new HttpEngineOrderClient(vertx, ORDER_TIMEOUT),
                        this::incarnation,
                        () -> isOrderCandidate(pool),
                        Ticker.SYSTEM)
                .start();
    }

    private Optional<String> incarnation(TargetId target) {
        return probes.incarnation(target);
    }

    private boolean isOrderCandidate(PoolId pool) {
        return RendezvousHash.rank(
                        pool.value(), control.members().reachableMembers(), m -> m.host().value())
                .stream()
                .limit(ORDER_CANDIDATES)
                .anyMatch(m -> m.equals(control.members().self()));
    }
}
