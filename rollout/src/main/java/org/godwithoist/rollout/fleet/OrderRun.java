package org.godwithoist.rollout.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.rollout.Decision;
import org.godwithoist.rollout.Evidence;
import org.godwithoist.rollout.EvidenceSource;
import org.godwithoist.rollout.Progress;
import org.godwithoist.rollout.RolloutOrder;
import org.godwithoist.rollout.RolloutState;
import org.godwithoist.rollout.Rollouts;
import org.godwithoist.rollout.lease.LeaseTask;
import org.godwithoist.rollout.lease.OrderControl;
import org.godwithoist.targets.PeerLoads;

/**
 * One order on this daemon: passes what other daemons and the store state to the decisions, and the
 * decisions of a leader to the others and the store. A terminal state is in force once it is in the
 * store; until then the leader of an order that is reverted states a share of 0. Thread-safe.
 */
final class OrderRun implements OrderControl {
    /** Source of the evidence of all other daemons; its parts are summed here. */
    private static final EvidenceSource OTHERS = new EvidenceSource("others");

    /** Older statements of the leader do not show that it is alive. */
    private static final Duration MAX_LEADER_AGE = Duration.ofSeconds(1);

    /** Age of statements whose leader this daemon has not heard. */
    private static final Duration NOT_HEARD = Duration.ofDays(1);

    /** Time that a message is under way at most in calm; added to the age of what is relayed. */
    private static final Duration HOP_TIME = Duration.ofMillis(5);

    /** Time for which the end of an order is reported, so that a lost message loses nothing. */
    private static final Duration END_REPORT_TIME = Duration.ofSeconds(3);

    private final RolloutOrder order;
    private final RolloutFleet.Dependencies dependencies;
    private final Rollouts rollouts;
    private final ServiceKey serviceKey;
    private final PeerEvidence evidence;
    private final AtomicLong sequence = new AtomicLong();
    private final LeaseTask lease;
    private final OrderLog log;
    private Optional<Progress> pending = Optional.empty();
    private Progress lastProgress = Progress.NONE;
    private Statement statement = Statement.NONE;
    private Optional<Long> statedAt = Optional.empty();
    private Optional<Long> endedAt = Optional.empty();
    private boolean withdrawn;

    /**
     * Creates a run that has not been started.
     *
     * @param mayBeOld whether the order may have begun before this daemon started
     */
    OrderRun(RolloutOrder order, boolean mayBeOld, RolloutFleet.Dependencies dependencies) {
        this.order = order;
        this.dependencies = dependencies;
        rollouts = dependencies.rollouts();
        serviceKey = ServiceKey.of(order.service());
        evidence = new PeerEvidence(dependencies.ticker());
        log = new OrderLog(order, dependencies.log());
        lease =
                new LeaseTask(
                        order,
                        this,
                        dependencies.ticker().nanos(),
                        mayBeOld,
                        new LeaseTask.Dependencies(
                                dependencies.host(),
                                dependencies.incarnation(),
                                dependencies.preferred(),
                                dependencies.stores().get(),
                                dependencies.timing(),
                                dependencies.log(),
                                dependencies.ticker(),
                                dependencies.random()));
    }

    RolloutOrder order() {
        return order;
    }

    LeaseTask lease() {
        return lease;
    }

    /** Makes the order known to the decisions. */
    void open() {
        rollouts.apply(order, Duration.ZERO);
        log.opened();
    }

    /**
     * Ends the order on this daemon. The leader of a withdrawn one writes that it is reverted; the
     * others stand by until they hear of it, because the leader may end before.
     *
     * @param replaced whether another order for the service follows, which has its own state
     */
    synchronized void withdraw(boolean replaced) {
        rollouts.withdraw(order.service(), order.id());
        log.withdrawn(replaced);
        withdrawn = true;
        // Of an order that this daemon has heard no leader of, a few daemons look for a state.
        boolean standsBy =
                lease.isLeader()
                        || lastProgress.term() > 0
                        || dependencies.preferred().getAsBoolean();
        if (replaced || lastProgress.state().isTerminal() || !standsBy) {
            lease.close();
            end();
        } else {
            pending = Optional.of(lastProgress.reverted());
            lease.finish();
        }
    }

    /** Ends a withdrawn order whose state in the store is terminal. */
    private void endWithdrawn(Progress stored) {
        lastProgress = stored;
        if (stored.state() == RolloutState.COMPLETED) {
            rollouts.recall(order.service(), order.to(), stored.state());
        }
        end();
        lease.close();
    }

    private void end() {
        if (endedAt.isEmpty()) {
            endedAt = Optional.of(now());
        }
    }

    private long now() {
        return dependencies.ticker().nanos();
    }

    /** Returns whether reports about the order are sent. */
    synchronized boolean isReported() {
        return endedAt.isEmpty() || now() - endedAt.get() < END_REPORT_TIME.toNanos();
    }

    /** Returns whether the order is no longer in the store. */
    synchronized boolean isWithdrawn() {
        return withdrawn;
    }

    /** Returns whether the run is over and can be forgotten. */
    synchronized boolean isOver() {
        return withdrawn && !isReported();
    }

    // ---- decisions

    /** Decides if this daemon leads the order, and logs what has changed. */
    synchronized void step() {
        if (withdrawn && lease.isClosed()) {
            // The store had no state of the order.
            end();
        }
        if (withdrawn || endedAt.isPresent()) {
            return;
        }
        rollouts.adoptAge(order.service(), order.id(), lease.age());
        rollouts.fault(order.service()).ifPresent(log::fault);
        if (lease.isLeader()) {
            lead();
        }
        adopt();
    }

    private void lead() {
        Optional<Decision> decision =
                rollouts.decide(order.service(), order.id(), progress().term());
        if (decision.isEmpty()) {
            return;
        }
        Progress next = decision.get().next();
        if (isAdvance(next) && !evidence.isInContact()) {
            // The others have stopped sending to the canary, and may still use the baseline.
            announce(progress());
            return;
        }
        if (next.state().isTerminal()) {
            if (pending.filter(p -> p.state() == next.state()).isEmpty()) {
                log.decision(decision.get(), total(), lease.age());
            }
            pending = Optional.of(next);
            announce(
                    next.share() == 0 && progress().share() > 0
                            ? progress().raisedTo(0)
                            : progress());
            return;
        }
        pending = Optional.empty();
        if (!next.equals(progress())) {
            log.decision(decision.get(), total(), lease.age());
        }
        announce(next);
    }

    private boolean isAdvance(Progress next) {
        return next.state() == RolloutState.COMPLETED
                || (next.state() == RolloutState.IN_PROGRESS && next.share() > progress().share());
    }

    /** Puts a progress of this leader in force. */
    private void announce(Progress next) {
        statement = new Statement(next.term(), statement.number() + 1);
        statedAt = Optional.of(now());
        rollouts.hear(order.service(), order.id(), next);
    }

    private Evidence total() {
        return rollouts.fleetEvidence(order.service());
    }

    private Progress progress() {
        return rollouts.progress(order.service()).filter(p -> !withdrawn).orElse(lastProgress);
    }

    /** Takes over what is in force, and notices the end of the order. */
    private void adopt() {
        Progress next = progress();
        if (next.state().isTerminal() && endedAt.isEmpty()) {
            end();
            log.ended(next, total());
        }
        lastProgress = next;
    }

    @Override
    public synchronized Progress wanted() {
        return pending.orElseGet(this::progress);
    }

    @Override
    public synchronized void recordStored(Progress stored) {
        if (stored.state().isTerminal()) {
            pending = Optional.empty();
        }
        announce(stored);
        if (withdrawn && stored.state().isTerminal()) {
            endWithdrawn(stored);
        }
        if (!withdrawn) {
            adopt();
        }
    }

    // ---- reports

    /** Returns a report for another daemon. */
    synchronized RolloutReport report(PeerLoads.Scope scope, HostId to) {
        Evidence own = rollouts.ownEvidence(order.service());
        Evidence scoped =
                switch (scope) {
                    case OWN -> own;
                    case DOMAIN -> own.plus(evidence.ofDomain(dependencies.domain()));
                    case FLEET -> own.plus(evidence.othersExcept(to));
                };
        return new RolloutReport(
                serviceKey,
                order.id(),
                dependencies.incarnation(),
                sequence.incrementAndGet(),
                scope,
                statement,
                leaderAge(),
                lease.age(),
                progress(),
                scoped);
    }

    private Duration leaderAge() {
        if (lease.isLeader()) {
            return Duration.ZERO;
        }
        return statedAt.map(at -> Duration.ofNanos(now() - at)).orElse(NOT_HEARD);
    }

    /** Returns whether a report is about this order. */
    boolean isAbout(RolloutReport report) {
        return order.id().equals(report.order()) && serviceKey.equals(report.service());
    }

    synchronized void receive(HostId sender, FailureDomainId domain, RolloutReport report) {
        long reportedAt = now() - report.leaderAge().plus(HOP_TIME).toNanos();
        boolean newer = report.statement().compareTo(statement) > 0;
        boolean alive = report.leaderAge().compareTo(MAX_LEADER_AGE) < 0;
        if (withdrawn) {
            receiveWithdrawn(report, alive && newer, reportedAt);
            return;
        }
        evidence.receive(sender, domain, report);
        rollouts.receive(order.service(), order.id(), OTHERS, evidence.others());
        rollouts.adoptAge(order.service(), order.id(), report.orderAge());
        if (report.progress().state().isTerminal() || (alive && newer)) {
            statement = newer ? report.statement() : statement;
            statedAt = Optional.of(reportedAt);
            if (report.progress().term() > progress().term()) {
                // Another daemon leads now and decides itself.
                pending = Optional.empty();
            }
            rollouts.hear(order.service(), order.id(), report.progress());
            lease.recordLeader(report.progress());
        } else {
            rollouts.restore(order.service(), order.id(), report.progress());
        }
        adopt();
    }

    private void receiveWithdrawn(RolloutReport report, boolean fromLeader, long reportedAt) {
        if (endedAt.isPresent()) {
            return;
        }
        Progress heard = report.progress();
        if (heard.state().isTerminal()) {
            endWithdrawn(heard);
        } else if (fromLeader) {
            statement = report.statement();
            statedAt = Optional.of(reportedAt);
            lease.recordLeader(heard);
        }
    }
}
