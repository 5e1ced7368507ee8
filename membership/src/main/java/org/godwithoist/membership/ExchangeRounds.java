package org.godwithoist.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.time.Ticker;

/**
 * What a daemon says to a peer in a round and what it does with the answer. A round carries a
 * digest of all orders. The orders themselves travel in two cases: the host at which an order was
 * given sends it to every peer, and a daemon that sees another digest sends all it has.
 * Thread-safe; one task at a time runs the rounds of a peer.
 */
public final class ExchangeRounds {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final class Peer {
        private volatile Optional<Long> lastDigest = Optional.empty();
        private volatile long acknowledged;
        private boolean sendAll;
        private boolean introduce = true;
        private boolean wantMembers;
    }

    private final FleetMembers members;
    private final OrderBook orders;
    private final MembershipConfig config;
    private final Ticker ticker;
    private final Map<HostId, Peer> peers = new ConcurrentHashMap<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition answered = lock.newCondition();
    private Optional<Long> lastPull = Optional.empty();

    /** Makes rounds over the given state. */
    public ExchangeRounds(
            FleetMembers members, OrderBook orders, MembershipConfig config, Ticker ticker) {
        this.members = members;
        this.orders = orders;
        this.config = config;
        this.ticker = ticker;
    }

    // ---- own rounds

    /**
     * Runs one round with a peer and waits for its answer.
     *
     * @return whether another round should follow at once, because the peer lacks orders
     * @throws RuntimeException if the peer does not answer
     */
    public boolean run(HostId host, PeerExchange exchange) {
        Peer peer = peer(host);
        OrderBook.Snapshot held = orders.snapshot();
        boolean sendAll = peer.sendAll;
        List<Order> sent = sendAll ? held.orders() : unsent(peer, held);
        boolean wantMembers = peer.wantMembers && takePull();
        var request =
                new ExchangeMessage.Request(
                        members.self().incarnation(),
                        held.digest(),
                        sent,
                        peer.introduce ? Optional.of(members.self()) : Optional.empty(),
                        wantMembers,
                        false);
        long sentAt = ticker.nanos();
        var response =
                Await.result(
                        exchange.send(host, request, config.callTimeout()),
                        config.callTimeout().multipliedBy(2));
        // The contact counts only once the orders of the peer are in force here. Otherwise a daemon
        // that has just started would use a reserved slot of a target that is ordered out.
        orders.merge(response.orders());
        if (response.ordersKnown()) {
            members.ordersRead();
        }
        members.answered(host, response.incarnation(), sentAt);
        if (wantMembers && !response.members().isEmpty()) {
            members.learnAll(response.members());
        }
        boolean differs = response.ordersDigest() != orders.digest();
        peer.lastDigest = Optional.of(response.ordersDigest());
        peer.introduce = response.senderUnknown();
        peer.wantMembers =
                !members.listKnown() || response.membersDigest() != members.reachableDigest();
        peer.sendAll = differs;
        if (sendAll || !sent.isEmpty() || response.ordersDigest() == held.digest()) {
            peer.acknowledged = Math.max(peer.acknowledged, held.revision());
            signal();
        }
        return differs && !sendAll;
    }

    /** Tells all members that this daemon stops. */
    public void sayLeaving(PeerExchange exchange) {
        var request =
                new ExchangeMessage.Request(
                        members.self().incarnation(),
                        orders.digest(),
                        List.of(),
                        Optional.empty(),
                        false,
                        true);
        var calls =
                members.reachable().stream()
                        .filter(m -> !m.host().equals(members.self().host()))
                        .map(m -> exchange.send(m.host(), request, config.callTimeout()))
                        .toList();
        for (var call : calls) {
            try {
                Await.result(call, config.callTimeout());
            } catch (RuntimeException e) {
                // The member will notice the silence; it only waits longer before it goes on.
                LOG.atFine().withCause(e).log("a member did not take the notice of leaving");
            }
        }
    }

    private List<Order> unsent(Peer peer, OrderBook.Snapshot held) {
        if (peer.lastDigest.filter(d -> d == held.digest()).isPresent()) {
            return List.of();
        }
        return orders.ownSince(peer.acknowledged);
    }

    private boolean takePull() {
        lock.lock();
        try {
            long now = ticker.nanos();
            boolean early =
                    lastPull.filter(t -> now - t < config.memberPullInterval().toNanos())
                            .isPresent();
            if (early && members.listKnown()) {
                return false;
            }
            lastPull = Optional.of(now);
            return true;
        } finally {
            lock.unlock();
        }
    }

    // ---- rounds of peers

    /**
     * Answers a round of a peer.
     *
     * @param from authenticated sender
     */
    public ExchangeMessage.Response answer(HostId from, ExchangeMessage.Request request) {
        orders.merge(request.orders());
        OrderBook.Snapshot held = orders.snapshot();
        if (request.leaving()) {
            members.left(from);
        } else {
            request.sender().filter(m -> m.host().equals(from)).ifPresent(members::announce);
        }
        peer(from).lastDigest = Optional.of(request.ordersDigest());
        return new ExchangeMessage.Response(
                members.self().incarnation(),
                held.digest(),
                held.digest() == request.ordersDigest() ? List.of() : held.orders(),
                members.reachableDigest(),
                request.wantMembers() && members.listKnown() ? members.reachable() : List.of(),
                !members.knows(from, request.incarnation()),
                members.ordersKnown());
    }

    // ---- acknowledgements

    /**
     * Waits until all members that are not silent have acknowledged the orders given here up to a
     * revision of the book.
     *
     * @return the members that have not, silent ones included
     */
    public Set<HostId> awaitAcknowledgements(long revision, Duration timeout) {
        long left = timeout.toNanos();
        lock.lock();
        try {
            Set<HostId> missing = unacknowledged(revision);
            while (left > 0 && !missing.stream().allMatch(members::isSilent)) {
                left = answered.awaitNanos(left);
                missing = unacknowledged(revision);
            }
            return missing;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return unacknowledged(revision);
        } finally {
            lock.unlock();
        }
    }

    private Set<HostId> unacknowledged(long revision) {
        Set<HostId> missing = new HashSet<>();
        for (Member m : members.members()) {
            boolean self = m.host().equals(members.self().host());
            if (!self && peer(m.host()).acknowledged < revision) {
                missing.add(m.host());
            }
        }
        return missing;
    }

    /** Returns whether a member held the same orders as this daemon when it was last heard. */
    public boolean agrees(HostId host) {
        long digest = orders.digest();
        return host.equals(members.self().host())
                || peer(host).lastDigest.filter(d -> d == digest).isPresent();
    }

    private void signal() {
        lock.lock();
        try {
            answered.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private Peer peer(HostId host) {
        return peers.computeIfAbsent(host, h -> new Peer());
    }

    /** Forgets what a member that is no longer known has acknowledged. */
    public void forget(HostId host) {
        peers.remove(host);
    }
}
