package org.godwithoist.daemon;

import io.vertx.ext.web.Router;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.OperatorKeys;
import org.godwithoist.bundle.http.BundleRoutes;
import org.godwithoist.bundle.http.OperatorAuth;
import org.godwithoist.bundle.store.BundleOperations;
import org.godwithoist.bundle.store.BundleTables;
import org.godwithoist.bundle.store.RevisionStore;
import org.godwithoist.bundle.wire.BundleDistributor;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.FleetMembers;
import org.godwithoist.membership.FleetMembership;
import org.godwithoist.membership.FleetTargets;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MembershipConfig;
import org.godwithoist.membership.http.MembershipRoutes;
import org.godwithoist.membership.wire.GrpcExchange;
import org.godwithoist.membership.wire.GrpcHostList;
import org.godwithoist.membership.wire.GrpcPeerTransport;
import org.godwithoist.membership.wire.TableOrderStore;
import org.godwithoist.settings.DaemonSettings;
import org.godwithoist.store.http.StoreClient;

/** Components of a daemon that synchronize state with other daemons: members, orders, bundle. */
final class ControlPlane {
    /**
     * Incarnation of seeds from the settings. It is lower than that of any run, so that the first
     * message of a seed replaces it.
     */
    private static final long UNKNOWN_INCARNATION = 0;

    private final DaemonSettings settings;
    private final FleetMembership membership;
    private final GrpcPeerTransport transport;
    private final GrpcExchange exchange;
    private final GrpcHostList hostList;
    private final HeadState head;
    private final BundleDistributor distributor;
    private final BundleOperations operations;
    private final OperatorAuth auth;

    ControlPlane(DaemonSettings settings, StoreClient storeClient, long incarnation) {
        this.settings = settings;
        var self =
                new Member(
                        settings.host(), settings.failureDomain(), settings.peers(), incarnation);
        membership =
                new FleetMembership(
                        self,
                        seeds(settings),
                        MembershipConfig.DEFAULT,
                        Ticker.SYSTEM,
                        storeClient,
                        new TableOrderStore(storeClient));
        transport =
                new GrpcPeerTransport(
                        settings.host(),
                        incarnation,
                        settings.peerKeys(),
                        h -> membership.members().find(h).map(Member::peer),
                        Ticker.SYSTEM);
        exchange = GrpcExchange.bind(transport, membership.rounds());
        hostList = GrpcHostList.bind(transport, membership.hostList());
        var keys = new OperatorKeys(settings.operatorKeys());
        head = new HeadState(keys);
        var tables = new BundleTables(storeClient);
        var revisions = new RevisionStore(storeClient, head);
        distributor =
                new BundleDistributor(head, revisions, tables, membership.members(), transport);
        distributor.register();
        operations =
                new BundleOperations(
                        tables, revisions, head, keys, distributor, InstantSource.system());
        auth = new OperatorAuth(settings.operatorKeys());
    }

    private static List<Member> seeds(DaemonSettings settings) {
        return settings.seeds().stream()
                .filter(s -> !s.host().equals(settings.host()))
                .map(s -> new Member(s.host(), s.failureDomain(), s.peer(), UNKNOWN_INCARNATION))
                .toList();
    }

    /** Listens for peers and starts the tasks; all message handlers must be registered before. */
    void start() {
        transport.listen(settings.peers());
        membership.start(exchange, hostList);
        distributor.start();
    }

    /** Notifies the peers that this daemon leaves, and closes the connections. */
    void stop() {
        distributor.close();
        membership.stop();
        transport.close();
    }

    void mount(Router operators) {
        new BundleRoutes(operations, auth).mount(operators);
        new MembershipRoutes(membership, transport.traffic(), auth).mount(operators);
    }

    /** Returns whether the daemon has a bundle that it may use to serve requests. */
    boolean isReady() {
        return distributor.ready();
    }

    Optional<Bundle> bundle() {
        return head.bundle();
    }

    HeadState head() {
        return head;
    }

    FleetMembers members() {
        return membership.members();
    }

    FleetMembership membership() {
        return membership;
    }

    FleetTargets targets() {
        return membership.targets();
    }

    GrpcPeerTransport transport() {
        return transport;
    }

    OperatorAuth auth() {
        return auth;
    }
}
