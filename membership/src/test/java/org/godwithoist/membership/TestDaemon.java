package org.godwithoist.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.wire.GrpcExchange;
import org.godwithoist.membership.wire.GrpcHostList;
import org.godwithoist.membership.wire.GrpcPeerTransport;
import org.godwithoist.membership.wire.TableOrderStore;
import org.godwithoist.settings.PeerKey;
import org.godwithoist.store.HostEntry;
import org.godwithoist.store.HostList;
import org.godwithoist.store.TableStore;

/**
 * Membership of one daemon with its real transport on loopback. Links between daemons can be cut.
 */
public final class TestDaemon implements AutoCloseable {
    /** Keys of all test daemons. */
    public static final List<PeerKey> KEYS = List.of(new PeerKey("k1", "a secret for tests only"));

    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
    private static final String LOOPBACK = "127.0.0.1";

    private final Set<HostId> cutPeers = ConcurrentHashMap.newKeySet();
    private final FleetMembership membership;
    private final GrpcPeerTransport transport;
    private final PeerExchange exchange;
    private final PeerHostList hostList;

    /** Creates a daemon that listens but runs no tasks. */
    public TestDaemon(
            Member self,
            List<Member> seeds,
            MembershipConfig config,
            HostList platform,
            TableStore store) {
        membership =
                new FleetMembership(
                        self, seeds, config, Ticker.SYSTEM, platform, new TableOrderStore(store));
        transport =
                new GrpcPeerTransport(
                        self.host(),
                        self.incarnation(),
                        KEYS,
                        h -> membership.members().find(h).map(Member::peer),
                        Ticker.SYSTEM);
        GrpcExchange wire = GrpcExchange.bind(transport, membership.rounds());
        exchange =
                (peer, request, timeout) ->
                        cutPeers.contains(peer)
                                ? noResponse(timeout)
                                : wire.send(peer, request, timeout);
        GrpcHostList pulls = GrpcHostList.bind(transport, membership.hostList());
        hostList =
                (peer, request, timeout) ->
                        cutPeers.contains(peer)
                                ? noResponse(timeout)
                                : pulls.pull(peer, request, timeout);
        transport.listen(self.peer());
    }

    private static <T> CompletableFuture<T> noResponse(Duration timeout) {
        return new CompletableFuture<T>().orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns a member on a free loopback port. */
    public static Member member(int n, long incarnation) {
        return new Member(
                new HostId("h" + n),
                new FailureDomainId("d" + n % 3),
                new Endpoint(LOOPBACK, LoopbackPorts.next()),
                incarnation);
    }

    /** Returns members h0, h1 and so on. */
    public static List<Member> members(int count) {
        return IntStream.range(0, count).mapToObj(n -> member(n, 1)).toList();
    }

    /** Returns the host list entry of a member. */
    public static HostEntry hostListEntry(Member m) {
        Optional<TargetId> target = Optional.empty();
        var kind = HostEntry.Kind.DAEMON;
        var live = HostEntry.State.LIVE;
        return new HostEntry(
                m.host(), kind, target, Optional.empty(), m.failureDomain(), m.peer(), live);
    }

    /** Returns the host list entry of engine {@code e<n>} on host {@code t<n>}. */
    public static HostEntry engine(int n, String pool, String domain, HostEntry.State state) {
        return new HostEntry(
                new HostId("t" + n),
                HostEntry.Kind.ENGINE,
                Optional.of(new TargetId("e" + n)),
                Optional.of(new PoolId(pool)),
                new FailureDomainId(domain),
                new Endpoint(LOOPBACK, 9),
                state);
    }

    /** Starts the tasks and returns this daemon. */
    public TestDaemon start() {
        membership.start(exchange, hostList);
        return this;
    }

    public FleetMembership membership() {
        return membership;
    }

    public GrpcPeerTransport transport() {
        return transport;
    }

    public HostId host() {
        return membership.members().self().host();
    }

    /** Returns the client side of the exchange, which fails for cut links. */
    PeerExchange exchange() {
        return exchange;
    }

    /** Returns the number of members that this daemon exchanges messages with. */
    int partners() {
        return membership.members().exchangePartners().size();
    }

    /** Drops all exchanges and pulls between two daemons until {@link #restoreLink}. */
    public static void cutLink(TestDaemon a, TestDaemon b) {
        a.cutPeers.add(b.host());
        b.cutPeers.add(a.host());
    }

    /** Ends the effect of {@link #cutLink}. */
    public static void restoreLink(TestDaemon a, TestDaemon b) {
        a.cutPeers.remove(b.host());
        b.cutPeers.remove(a.host());
    }

    /** Waits until a condition holds; fails if it does not within the given milliseconds. */
    public static void await(long millis, BooleanSupplier condition) {
        assertTrue(within(millis, condition), "condition does not hold within " + millis + " ms");
    }

    /**
     * Waits until a condition holds; returns false if it does not within the given milliseconds.
     */
    public static boolean within(long millis, BooleanSupplier condition) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end || !Tasks.sleep(POLL_INTERVAL)) {
                return false;
            }
        }
        return true;
    }

    /** Stops without notifying the members, as a crash does. */
    @Override
    public void close() {
        membership.abort();
        transport.close();
    }
}
