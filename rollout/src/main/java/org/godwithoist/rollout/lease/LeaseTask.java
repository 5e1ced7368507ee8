package org.godwithoist.rollout.lease;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.rollout.Progress;
import org.godwithoist.rollout.RolloutOrder;

/**
 * Acquires and renews the lease of one order, and writes the order's state with it, in a task of
 * its own. It makes no call while another daemon is heard to lead, nor after the order has ended.
 */
public final class LeaseTask {
    /** Interval between two looks at what is due; also the delay of a decision. */
    private static final Duration INTERVAL = Duration.ofMillis(100);

    /** Interval after the end of the order, which only a restored store can undo. */
    private static final Duration ENDED_INTERVAL = Duration.ofSeconds(1);

    /**
     * Dependencies of a task.
     *
     * @param incarnation start time of this process
     * @param preferred whether this daemon reaches the others quickly
     */
    public record Dependencies(
            HostId host,
            long incarnation,
            BooleanSupplier preferred,
            LeaseStore store,
            LeaseTiming timing,
            EventLog log,
            Ticker ticker,
            RandomGenerator random) {}

    private final RolloutOrder order;
    private final OrderControl control;
    private final Dependencies dependencies;
    private final RolloutLease lease;
    private volatile Optional<Progress> lastStored = Optional.empty();
    private volatile boolean led;
    private volatile boolean ended;

    /** Whether the end that this daemon wrote is compared with the row of a restored store. */
    private volatile boolean rechecking;

    /** Whether only the end of the order, which is withdrawn, is left to be written. */
    private volatile boolean finishing;

    private volatile boolean closed;

    /**
     * Creates a task that has made no call.
     *
     * @param firstSeenAt time at which this daemon saw the order, in nanoseconds of the ticker
     * @param immediate whether the row is read at once, because the order may be an old one
     */
    public LeaseTask(
            RolloutOrder order,
            OrderControl control,
            long firstSeenAt,
            boolean immediate,
            Dependencies dependencies) {
        this.order = order;
        this.control = control;
        this.dependencies = dependencies;
        lease =
                new RolloutLease(
                        order,
                        new RolloutLease.Holder(
                                dependencies.host(),
                                dependencies.incarnation(),
                                dependencies.preferred(),
                                dependencies.timing(),
                                dependencies.ticker(),
                                dependencies.random()),
                        firstSeenAt,
                        immediate);
    }

    /** Runs until the order is closed or the task is interrupted. */
    public void run() {
        try {
            while (!closed && Tasks.sleep(ended ? ENDED_INTERVAL : INTERVAL)) {
                step();
            }
        } finally {
            dependencies.store().close();
        }
    }

    /** Ends the task, because the order is no longer in the store. */
    public void close() {
        closed = true;
    }

    /** Returns whether the task has ended or is about to. */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Lets the task write the end of a withdrawn order, once no other daemon leads it. It ends if
     * the row turns out to be about another order, or about none.
     */
    public void finish() {
        finishing = true;
    }

    /** Returns whether this daemon leads the order. */
    public boolean isLeader() {
        return lease.isHeld();
    }

    /** Returns the time since the order, as far as it is known. */
    public Duration age() {
        return lease.age();
    }

    /** Records the progress that the leader of the order has sent. */
    public void recordLeader(Progress heard) {
        if (rechecking) {
            return;
        }
        lease.recordLeader(heard);
        if (heard.state().isTerminal()) {
            ended = true;
        }
    }

    /**
     * Makes the daemon that has ended the order compare the row with what it wrote, because the
     * store was restored from an older copy.
     */
    public void storeRestored() {
        if (!ended || led) {
            rechecking = ended;
            lease.recordRestore();
            lastStored = Optional.empty();
            ended = false;
        }
    }

    /** Makes the call that is due, if any. */
    void step() {
        if (ended) {
            return;
        }
        if (finishing && lease.isAbsent()) {
            closed = true;
            return;
        }
        Progress wanted = control.wanted();
        RolloutLease.Step step = lease.step(isDecisionDue(wanted));
        long sentAt = dependencies.ticker().nanos();
        try {
            switch (step) {
                case WAIT -> {}
                case READ -> {
                    lease.recordRead(dependencies.store().read(order.service()), sentAt);
                    adoptEnd();
                }
                case ACQUIRE, RENEW -> write(step, wanted, sentAt);
            }
        } catch (LeaseStore.NotDoneException e) {
            lease.recordNotDone();
            logFailure(step, "not_done", e);
        } catch (IOException e) {
            lease.recordUnknown();
            logFailure(step, "unknown", e);
        }
    }

    /** Returns whether the row does not state the end that the decisions have reached. */
    private boolean isDecisionDue(Progress wanted) {
        return wanted.state().isTerminal()
                && lastStored.filter(s -> s.state() == wanted.state()).isEmpty();
    }

    private void write(RolloutLease.Step step, Progress wanted, long sentAt) throws IOException {
        LeaseRecord record = lease.next(step, wanted, finishing);
        boolean writesState =
                step == RolloutLease.Step.ACQUIRE
                        || lastStored.filter(s -> s.state() == wanted.state()).isEmpty();
        LeaseStore.Written written =
                dependencies.store().write(order, record, lease.expectedVersion(), writesState);
        lease.recordWrite(written, sentAt);
        if (!written.applied()) {
            adoptEnd();
            return;
        }
        led = true;
        lastStored = Optional.of(record.progress());
        control.recordStored(record.progress());
        ended = record.progress().state().isTerminal();
        rechecking = false;
        if (writesState) {
            logWrite(step, record);
        }
    }

    /** Ends the task if the row shows that the order has ended. */
    private void adoptEnd() {
        Optional<Progress> stored =
                lease.record().map(LeaseRecord::progress).filter(p -> p.state().isTerminal());
        if (stored.isPresent()) {
            ended = true;
            rechecking = false;
            lastStored = stored;
            control.recordStored(stored.get());
        }
    }

    private void logWrite(RolloutLease.Step step, LeaseRecord record) {
        dependencies
                .log()
                .event("rollout_state")
                .with("service", order.service().value())
                .with("order", order.id().toString())
                .with("to", order.to().value())
                .with("state", record.progress().state().name())
                .with("share", String.valueOf(record.progress().share()))
                .with("term", record.progress().term())
                .with("step", step.name())
                .with("age_ms", age().toMillis())
                .write();
    }

    private void logFailure(RolloutLease.Step step, String outcome, IOException failure) {
        dependencies
                .log()
                .event("rollout_store_failed")
                .with("service", order.service().value())
                .with("order", order.id().toString())
                .with("step", step.name())
                .with("outcome", outcome)
                .with("reason", String.valueOf(failure.getMessage()))
                .write();
    }
}
