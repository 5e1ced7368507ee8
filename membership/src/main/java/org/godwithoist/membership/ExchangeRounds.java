package org.godwithoist.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.BitSet;
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
 * Exchange rounds with peers, both sent and received. A round carries a digest of all orders. The
 * orders themselves are sent in two cases: the host at which an order was issued sends it to every
 * peer, and a daemon that sees a different digest sends all its orders. Thread-safe; the rounds
 * with one peer must be run by one task at a time.
 */
public final class ExchangeRounds {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final class PeerState {
        /** Digest of the orders in the last message of the peer. */
        private volatile Optional<Long> lastDigest = Optional.empty();

        /** Local revision up to which the peer holds the orders. */
        private volatile long acknowledgedRevision;

        /** The next request carries all orders, because the digests differed. */
        private boolean sendAllOrders;

        private boolean announceSelf = true;
        private boolean wantMembers;
    }

    /**
     * Confirmation that all members of another group hold the orders with a digest; the revision is
     * local.
     */
    private record Confirmation(long digest, long revision) {}

    /**
     * Members and groups that have not acknowledged.
     *
     * @param members members of the own group that have not acknowledged, unresponsive ones
     *     included
     * @param groups other groups that have not confirmed
     */
    public record Unacknowledged(Set<HostId> members, Set<GroupId> groups) {}

    private final FleetMembers members;
    private final OrderRegistry orders;
    private final MembershipConfig config;
    private final Ticker ticker;
    private final Map<HostId, PeerState> peers = new ConcurrentHashMap<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition acknowledgementReceived = lock.newCondition();
    private final Map<GroupId, Confirmation> confirmations = new ConcurrentHashMap<>();
    private Optional<Long> lastMemberPull = Optional.empty();

    /** Creates rounds over the given state. */
    public ExchangeRounds(
            FleetMembers members, OrderRegistry orders, MembershipConfig config, Ticker ticker) {
        this.members = members;
        this.orders = orders;
        this.config = config;
        this.ticker = ticker;
    }

    // ---- rounds started here

    /**
     * Runs one round with a peer and waits for its response.
     *
     * @return whether another round should follow immediately, because the peer lacks orders
     * @throws RuntimeException if the peer does not respond
     */
    public boolean runRound(HostId host, PeerExchange exchange) {
        PeerState peer = peer(host);
        OrderRegistry.Snapshot snapshot = orders.snapshot();
        GroupLayout layout = members.layout();
        boolean sendAllOrders = peer.sendAllOrders;
        List<Order> sent = sendAllOrders ? snapshot.orders() : ordersToSend(peer, snapshot);
        boolean wantMembers = peer.wantMembers && tryStartMemberPull();
        var request =
                new ExchangeMessage.Request(
                        members.self().incarnation(),
                        snapshot.digest(),
                        sent,
                        peer.announceSelf ? Optional.of(members.self()) : Optional.empty(),
                        wantMembers,
                        false,
                        layout.count(),
                        wantedGroups(layout, snapshot, host),
                        wantMembers && members.listKnown() ? members.groupDigests() : List.of());
        long sentAt = ticker.nanos();
        var response =
                Await.result(
                        exchange.send(host, request, config.callTimeout()),
                        config.callTimeout().multipliedBy(2));
        // The contact counts only once the orders of the peer are in force here. Otherwise a daemon
        // that has just started would use a reserved slot of a target that is out of service.
        orders.merge(response.orders());
        if (response.ordersKnown()) {
            members.markOrdersKnown();
        }
        members.recordResponse(host, response.incarnation(), sentAt);
        members.applySummaries(response.groups(), response.summaries(), sentAt);
        recordConfirmations(layout, response);
        if (wantMembers && !response.members().isEmpty()) {
            members.addMembersFromPeer(response.members());
        }
        boolean ordersDiffer = response.ordersDigest() != orders.digest();
        peer.lastDigest = Optional.of(response.ordersDigest());
        peer.announceSelf = response.senderUnknown();
        peer.wantMembers =
                !members.listKnown() || response.membersDigest() != members.reachableDigest();
        peer.sendAllOrders = ordersDiffer;
        if (sendAllOrders || !sent.isEmpty() || response.ordersDigest() == snapshot.digest()) {
            peer.acknowledgedRevision = Math.max(peer.acknowledgedRevision, snapshot.revision());
            signalAcknowledgement();
        }
        return ordersDiffer && !sendAllOrders;
    }

    /**
     * Returns the groups whose summaries are requested from a peer: the peer's own group, those
     * whose contact is getting old, and those that have not confirmed the orders held here.
     */
    private BitSet wantedGroups(GroupLayout layout, OrderRegistry.Snapshot snapshot, HostId host) {
        BitSet wanted = members.wantedGroups();
        if (!layout.hasMultipleGroups()) {
            return wanted;
        }
        wanted.set(layout.groupOf(host).number());
        for (int g = 0; g < layout.count(); g++) {
            if (!snapshot.orders().isEmpty() && !isConfirmed(new GroupId(g), snapshot.digest())) {
                wanted.set(g);
            }
        }
        wanted.clear(layout.ownGroup().number());
        return wanted;
    }

    private void recordConfirmations(GroupLayout layout, ExchangeMessage.Response response) {
        OrderRegistry.Snapshot snapshot = orders.snapshot();
        if (response.ordersDigest() != snapshot.digest() || response.groups() != layout.count()) {
            return;
        }
        response.summaries().stream()
                .filter(GroupSummary::confirmed)
                .forEach(
                        s ->
                                confirmations.put(
                                        s.group(),
                                        new Confirmation(snapshot.digest(), snapshot.revision())));
        signalAcknowledgement();
    }

    private boolean isConfirmed(GroupId group, long digest) {
        Confirmation c = confirmations.get(group);
        return c != null && c.digest() == digest;
    }

    /**
     * Returns whether all members of a group that are not unresponsive hold the orders with a
     * digest.
     */
    private boolean groupHoldsOrders(GroupLayout layout, GroupId group, long digest) {
        if (!group.equals(layout.ownGroup())) {
            return isConfirmed(group, digest);
        }
        return layout.members(group).stream()
                .filter(h -> !members.isUnresponsive(h))
                .allMatch(h -> holdsSameOrders(h, digest));
    }

    /**
     * Notifies members that this daemon stops: all members if there is one group, otherwise the
     * exchange partners, which pass it on in their summaries. Waits for their responses; failures
     * are ignored.
     */
    public void notifyLeaving(PeerExchange exchange) {
        boolean multipleGroups = members.layout().hasMultipleGroups();
        Set<HostId> partners = members.exchangePartners();
        var request =
                new ExchangeMessage.Request(
                        members.self().incarnation(),
                        orders.digest(),
                        List.of(),
                        Optional.empty(),
                        false,
                        true,
                        members.layout().count(),
                        new BitSet(),
                        List.of());
        var calls =
                members.reachableMembers().stream()
                        .filter(m -> !m.host().equals(members.self().host()))
                        .filter(m -> !multipleGroups || partners.contains(m.host()))
                        .map(m -> exchange.send(m.host(), request, config.callTimeout()))
                        .toList();
        for (var call : calls) {
            try {
                Await.result(call, config.callTimeout());
            } catch (RuntimeException e) {
                // The member detects the missing responses after the removal time.
                LOG.atFine().withCause(e).log(
                        "a member did not acknowledge that this daemon stops; it detects this after"
                                + " the removal time");
            }
        }
    }

    private List<Order> ordersToSend(PeerState peer, OrderRegistry.Snapshot snapshot) {
        if (peer.lastDigest.filter(d -> d == snapshot.digest()).isPresent()) {
            return List.of();
        }
        return members.layout().hasMultipleGroups()
                ? orders.ordersSince(peer.acknowledgedRevision)
                : orders.localOrdersSince(peer.acknowledgedRevision);
    }

    private boolean tryStartMemberPull() {
        lock.lock();
        try {
            long now = ticker.nanos();
            boolean tooEarly =
                    lastMemberPull
                            .filter(t -> now - t < config.memberPullInterval().toNanos())
                            .isPresent();
            if (tooEarly && members.listKnown()) {
                return false;
            }
            lastMemberPull = Optional.of(now);
            return true;
        } finally {
            lock.unlock();
        }
    }

    // ---- rounds started by peers

    /**
     * Responds to a round of a peer.
     *
     * @param from authenticated sender
     */
    public ExchangeMessage.Response respond(HostId from, ExchangeMessage.Request request) {
        orders.merge(request.orders());
        GroupLayout layout = members.layout();
        long digest = orders.digest();
        // Computed before the orders are read, so that the response contains all orders of the
        // members that a summary covers.
        List<GroupSummary> summaries =
                members.summaries(
                        request.groups(),
                        request.wantedGroups(),
                        g -> groupHoldsOrders(layout, g, digest));
        OrderRegistry.Snapshot snapshot = orders.snapshot();
        if (request.leaving()) {
            members.recordDeparture(from);
        } else {
            request.sender()
                    .filter(m -> m.host().equals(from))
                    .ifPresent(members::recordAnnouncement);
        }
        PeerState peer = peer(from);
        peer.lastDigest = Optional.of(request.ordersDigest());
        if (request.ordersDigest() == snapshot.digest()) {
            peer.acknowledgedRevision = Math.max(peer.acknowledgedRevision, snapshot.revision());
            signalAcknowledgement();
        }
        return new ExchangeMessage.Response(
                members.self().incarnation(),
                snapshot.digest(),
                snapshot.digest() == request.ordersDigest() ? List.of() : snapshot.orders(),
                members.reachableDigest(),
                request.wantMembers() && members.listKnown()
                        ? members.reachableMembers(request.memberDigests())
                        : List.of(),
                !members.knowsIncarnation(from, request.incarnation()),
                members.ordersKnown(),
                layout.count(),
                digest == snapshot.digest() ? summaries : unconfirmed(summaries));
    }

    /** Clears the confirmations, because the orders changed after they were determined. */
    private static List<GroupSummary> unconfirmed(List<GroupSummary> summaries) {
        return summaries.stream()
                .map(s -> new GroupSummary(s.group(), s.age(), s.covered(), false, s.absent()))
                .toList();
    }

    // ---- acknowledgements

    /**
     * Waits until all members of the own group that are not unresponsive have acknowledged the
     * orders up to a revision of the registry, and all other groups have confirmed them. Returns
     * early if the thread is interrupted.
     *
     * @return members and groups that have not acknowledged
     */
    public Unacknowledged awaitAcknowledgements(long revision, Duration timeout) {
        long remainingNanos = timeout.toNanos();
        lock.lock();
        try {
            Unacknowledged pending = unacknowledged(revision);
            while (remainingNanos > 0
                    && !(pending.groups().isEmpty()
                            && pending.members().stream().allMatch(members::isUnresponsive))) {
                remainingNanos = acknowledgementReceived.awaitNanos(remainingNanos);
                pending = unacknowledged(revision);
            }
            return pending;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return unacknowledged(revision);
        } finally {
            lock.unlock();
        }
    }

    private Unacknowledged unacknowledged(long revision) {
        GroupLayout layout = members.layout();
        Set<HostId> hosts = new HashSet<>();
        Set<GroupId> groups = new HashSet<>();
        for (Member m : members.members()) {
            HostId host = m.host();
            GroupId group = layout.groupOf(host);
            if (!group.equals(layout.ownGroup())) {
                Confirmation c = confirmations.get(group);
                if (c == null || c.revision() < revision) {
                    groups.add(group);
                }
            } else if (!host.equals(members.self().host())
                    && peer(host).acknowledgedRevision < revision) {
                hosts.add(host);
            }
        }
        return new Unacknowledged(hosts, groups);
    }

    /**
     * Returns whether a member held the same orders as this daemon when it or its group last
     * responded.
     */
    public boolean holdsSameOrders(HostId host) {
        long digest = orders.digest();
        GroupLayout layout = members.layout();
        GroupId group = layout.groupOf(host);
        return holdsSameOrders(host, digest)
                || (!group.equals(layout.ownGroup()) && isConfirmed(group, digest));
    }

    private boolean holdsSameOrders(HostId host, long digest) {
        PeerState peer = peers.get(host);
        return host.equals(members.self().host())
                || (peer != null && peer.lastDigest.filter(d -> d == digest).isPresent());
    }

    private void signalAcknowledgement() {
        lock.lock();
        try {
            acknowledgementReceived.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private PeerState peer(HostId host) {
        return peers.computeIfAbsent(host, h -> new PeerState());
    }

    /** Discards the exchange state of a host that is no longer a member. */
    public void forget(HostId host) {
        peers.remove(host);
    }
}
