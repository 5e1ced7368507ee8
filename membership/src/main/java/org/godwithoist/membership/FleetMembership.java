package org.godwithoist.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.core.task.Signal;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.HostList;

/**
 * Membership of one daemon: its state and the tasks that keep it up to date. There is one task for
 * each member of the own group and each partner on a link to another group, one for the host list,
 * one for the orders in the store and one that starts the tasks of the peers.
 */
public final class FleetMembership {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Minimum delay between two rounds with a peer, unless an order wakes the task. */
    private static final Duration MIN_ROUND_DELAY = Duration.ofMillis(100);

    private record PeerTask(Thread thread, Signal wakeup) {}

    private final MembershipConfig config;
    private final OrderStore store;
    private final FleetMembers members;
    private final OrderRegistry orders;
    private final FleetTargets targets;
    private final ExchangeRounds rounds;
    private final HostListState hostList;
    private final HostListRefresher hostListRefresher;
    private final Map<HostId, PeerTask> peerTasks = new ConcurrentHashMap<>();
    private final Map<HostId, ContactState> loggedContactStates = new HashMap<>();
    private final Signal storeWakeup = new Signal();
    private volatile boolean storeAvailable = true;
    private volatile Set<HostId> exchangePartners = Set.of();
    private volatile boolean stopping;
    private List<Thread> tasks = List.of();
    private PeerExchange exchange;
    private long appliedListDigest = HostListCopy.EMPTY.digest();

    /**
     * Creates a membership without running tasks; {@link #start} starts them.
     *
     * @param self this daemon
     * @param seeds members from the settings; may be empty
     */
    public FleetMembership(
            Member self,
            Collection<Member> seeds,
            MembershipConfig config,
            Ticker ticker,
            HostList platform,
            OrderStore store) {
        this.config = config;
        this.store = store;
        this.members = new FleetMembers(self, seeds, config, ticker);
        this.orders = new OrderRegistry(self.host());
        this.targets = new FleetTargets(orders);
        this.rounds = new ExchangeRounds(members, orders, config, ticker);
        orders.addListener(this::wakePeerTasksOnChange);
        this.hostList = new HostListState(ticker);
        this.hostListRefresher =
                new HostListRefresher(
                        hostList,
                        new HostListSources(members),
                        platform,
                        config,
                        ticker,
                        new SplittableRandom(),
                        this::applyHostList);
    }

    /** Returns the members with their contact; updated by the tasks. */
    public FleetMembers members() {
        return members;
    }

    /** Returns the targets of the host list; empty until the first list is received. */
    public FleetTargets targets() {
        return targets;
    }

    /** Returns the operator orders that this daemon holds. */
    public OrderRegistry orders() {
        return orders;
    }

    /** Returns the exchange rounds; the wire endpoint responds to peers with them. */
    public ExchangeRounds rounds() {
        return rounds;
    }

    /** Returns the local copy of the host list; the wire endpoint responds to pulls with it. */
    public HostListState hostList() {
        return hostList;
    }

    /** Returns the refresher of the local copy of the host list. */
    public HostListRefresher hostListRefresher() {
        return hostListRefresher;
    }

    /** Returns whether the last operation on the table of orders succeeded. */
    public boolean isStoreAvailable() {
        return storeAvailable;
    }

    // ---- lifecycle

    /** Starts the tasks. The wire endpoint must already be listening. */
    public synchronized void start(PeerExchange peerExchange, PeerHostList peerHostList) {
        exchange = peerExchange;
        tasks =
                List.of(
                        Tasks.start("host-list", () -> hostListRefresher.run(peerHostList)),
                        Tasks.start("order-store", this::runStoreSync),
                        Tasks.start("peer-tasks", this::maintainPeerTasks));
    }

    /** Notifies the members that this daemon stops, and ends the tasks. */
    public synchronized void stop() {
        if (exchange != null) {
            rounds.notifyLeaving(exchange);
        }
        abort();
    }

    /** Ends the tasks without notifying the members. */
    public synchronized void abort() {
        stopping = true;
        tasks.forEach(Thread::interrupt);
        peerTasks.values().forEach(t -> t.thread().interrupt());
    }

    // ---- orders

    /**
     * Issues an order: puts it in force here, sends it to all members immediately and waits for
     * their acknowledgements for up to {@link MembershipConfig#ackTimeout()}. Does not need the
     * store. Must be called from a virtual thread.
     *
     * @throws RequestException with {@code NOT_READY} if the members of the own group have not
     *     responded to this daemon yet
     */
    public OrderOutcome issueOrder(OrderSubject subject, OrderState state, OperatorName operator) {
        if (!members.isKnownToGroup()) {
            throw new RequestException(
                    ErrorCode.NOT_READY,
                    RunState.NOT_RUN,
                    "not all members of the group have responded to this daemon yet");
        }
        Order order = orders.issue(subject, state, operator);
        long revision = orders.snapshot().revision();
        LOG.atInfo().log("%s ordered %s %s", operator, subject, state.wireName());
        peerTasks.values().forEach(t -> t.wakeup().raise());
        storeWakeup.raise();
        var pending = rounds.awaitAcknowledgements(revision, config.ackTimeout());
        var winner = orders.find(subject).filter(o -> o.supersedes(order));
        List<HostId> unacknowledged = pending.members().stream().sorted().toList();
        List<GroupId> unconfirmed = pending.groups().stream().sorted().toList();
        if (winner.isPresent()) {
            LOG.atWarning().log(
                    "order of %s for %s is superseded by the order of %s",
                    operator, subject, winner.get().operator());
        }
        if (!unacknowledged.isEmpty()) {
            LOG.atWarning().log(
                    "order for %s is not acknowledged by members %s", subject, unacknowledged);
        }
        if (!unconfirmed.isEmpty()) {
            LOG.atWarning().log("order for %s is not confirmed by groups %s", subject, unconfirmed);
        }
        return new OrderOutcome(order, winner, unacknowledged, unconfirmed);
    }

    /**
     * Wakes the tasks after a change of the orders, so that they forward it. Not needed with one
     * group, where the daemon at which an order was issued sends it to all members itself.
     */
    private void wakePeerTasksOnChange() {
        if (members.layout().hasMultipleGroups()) {
            peerTasks.values().forEach(t -> t.wakeup().raise());
        }
    }

    // ---- tasks of the peers

    private void maintainPeerTasks() {
        do {
            members.tick();
            exchangePartners = members.exchangePartners();
            exchangePartners.forEach(h -> peerTasks.computeIfAbsent(h, this::startPeerTask));
            for (Member m : members.members()) {
                if (!m.host().equals(members.self().host())) {
                    logContactChange(m.host());
                }
            }
        } while (!stopping && Tasks.sleep(config.roundInterval()));
    }

    private PeerTask startPeerTask(HostId host) {
        Signal wakeup = new Signal();
        return new PeerTask(Tasks.start("peer-" + host, () -> runPeerTask(host, wakeup)), wakeup);
    }

    private void runPeerTask(HostId host, Signal wakeup) {
        // The first delay is random to spread the rounds of the peers evenly over time.
        Duration delay =
                Duration.ofNanos(
                        ThreadLocalRandom.current().nextLong(roundInterval(host).toNanos()));
        do {
            long start = System.nanoTime();
            runRound(host);
            if (!awaitNextRound(wakeup, delay.minus(usedInterval(start, delay)), host)) {
                break;
            }
            delay = roundInterval(host);
        } while (isMember(host) && isExchangePartner(host));
        peerTasks.remove(host);
        if (!isMember(host)) {
            rounds.forget(host);
        }
    }

    /**
     * Returns the part of the interval that a round has used. With one group the interval counts
     * from the end of a round; with several, from its start, so that a member that responds again
     * after a timeout is back in contact within the contact time.
     */
    private Duration usedInterval(long start, Duration delay) {
        Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
        if (!members.layout().hasMultipleGroups()) {
            return Duration.ZERO;
        }
        Duration max = delay.minus(MIN_ROUND_DELAY);
        return max.isNegative() ? Duration.ZERO : Durations.min(max, elapsed);
    }

    private Duration roundInterval(HostId host) {
        GroupLayout layout = members.layout();
        return layout.hasMultipleGroups() && layout.groupOf(host).equals(layout.ownGroup())
                ? config.groupRoundInterval()
                : config.roundInterval();
    }

    /**
     * Returns whether the task of a member continues. With one group it runs until the member is
     * removed, even after the member has left.
     */
    private boolean isExchangePartner(HostId host) {
        return !members.layout().hasMultipleGroups() || exchangePartners.contains(host);
    }

    /**
     * Waits for the next round. A wakeup for a new order is ignored if the peer already holds the
     * order.
     */
    private boolean awaitNextRound(Signal wakeup, Duration time, HostId host) {
        long deadline = System.nanoTime() + time.toNanos();
        while (true) {
            Duration remaining = Duration.ofNanos(Math.max(0, deadline - System.nanoTime()));
            if (!awaitNextRound(wakeup, remaining)) {
                return false;
            }
            if (deadline - System.nanoTime() <= 0
                    || !members.layout().hasMultipleGroups()
                    || !rounds.holdsSameOrders(host)) {
                return true;
            }
        }
    }

    private boolean isMember(HostId host) {
        return members.find(host).isPresent();
    }

    private void runRound(HostId host) {
        try {
            if (rounds.runRound(host, exchange)) {
                rounds.runRound(host, exchange);
            }
        } catch (RuntimeException e) {
            LOG.atFine().withCause(e).log("exchange with member %s failed", host);
        }
    }

    private boolean awaitNextRound(Signal wakeup, Duration time) {
        return wakeup.await(time) && !stopping;
    }

    private void logContactChange(HostId host) {
        ContactState state = members.contactState(host);
        ContactState previous = loggedContactStates.put(host, state);
        if (previous == state) {
            return;
        }
        switch (state) {
            case CONTACT -> LOG.atInfo().log("member %s is in contact", host);
            case LATE -> {
                if (previous != null) {
                    LOG.atWarning().log("member %s does not respond", host);
                }
            }
            case SILENT ->
                    LOG.atWarning().log("member %s is unresponsive and no longer counted", host);
            default -> throw new IllegalStateException("unknown contact state: " + state);
        }
    }

    // ---- platform

    private void applyHostList(HostListState.TimestampedCopy list) {
        HostListCopy copy = list.copy();
        boolean changed = copy.digest() != appliedListDigest;
        appliedListDigest = copy.digest();
        if (changed) {
            targets.update(copy.entries());
        }
        if (hostList.age().orElseThrow().compareTo(config.removalTime()) <= 0) {
            members.updateHostList(copy.entries());
        } else if (changed) {
            // Members may have joined since the platform returned this old list. Its members are
            // added, but the list does not count as known: until a peer has sent its members, this
            // daemon does not report contact with all members.
            copy.entries().stream()
                    .filter(h -> !h.kind().isTarget())
                    .map(h -> new Member(h.host(), h.failureDomain(), h.address(), 0))
                    .forEach(members::addMember);
        }
    }

    private void runStoreSync() {
        do {
            try {
                syncStore();
                if (!storeAvailable) {
                    LOG.atInfo().log("table domain_order is available again");
                }
                storeAvailable = true;
            } catch (RuntimeException e) {
                if (storeAvailable && !stopping) {
                    LOG.atWarning().withCause(e).log(
                            "table domain_order is unavailable; orders are exchanged between"
                                    + " members only");
                }
                storeAvailable = false;
            }
        } while (awaitNextRound(storeWakeup, config.storeInterval()));
    }

    private void syncStore() {
        List<Order> stored = store.read(config.storeTimeout());
        orders.merge(stored);
        members.markOrdersKnown();
        for (Order order : orders.snapshot().orders()) {
            if (!stored.contains(order) && isWriterOf(order)) {
                orders.merge(List.of(store.write(order, config.storeTimeout())));
            }
        }
    }

    /**
     * Returns whether this daemon writes an order that the store lacks. Only two daemons do: the
     * one at which it was issued, and the first member that is not unresponsive, in case the other
     * one is down. If all daemons wrote, an order would cost hundreds of conflicting writes after
     * an outage.
     */
    private boolean isWriterOf(Order order) {
        HostId self = members.self().host();
        if (order.stamp().host().equals(self)) {
            return true;
        }
        return members.members().stream()
                .map(Member::host)
                .filter(h -> !members.isUnresponsive(h))
                .findFirst()
                .filter(self::equals)
                .isPresent();
    }
}
