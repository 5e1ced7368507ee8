package org.godwithoist.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Signal;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;

/**
 * Whether this daemon reaches any target. A target that does not respond is no sign of it, because
 * the target may be at fault. So a failure only starts a check, which asks targets of different
 * services over new connections; if none responds, no target counts as reachable until one does.
 * Connections that were open before say nothing, since they may live on while new ones are refused.
 * Thread-safe.
 */
public final class TargetReach {
    /** Targets that are asked in a check if the first one does not respond. */
    private static final int TARGETS_PER_CHECK = 5;

    /** Targets that are asked in a check while no target responds. */
    private static final int TARGETS_WHILE_LOST = 2;

    /** Time after which the other targets are asked too; most respond within a few milliseconds. */
    private static final Duration FIRST_RESPONSE_TIME = Duration.ofMillis(100);

    /** Longer than any probe takes. */
    private static final Duration MAX_PROBE_TIME = Duration.ofSeconds(5);

    /** Shortest time between two checks while targets respond. */
    private static final Duration MIN_INTERVAL = Duration.ofSeconds(1);

    /** Time between two checks while no target responds. */
    private static final Duration RECOVERY_INTERVAL = Duration.ofMillis(500);

    /** Time after a response on a new connection for which no check is needed. */
    private static final Duration RESPONSE_VALIDITY = Duration.ofMillis(500);

    private final TargetDirectory directory;
    private final Predicate<Target> probe;
    private final EventLog log;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final Signal failure = new Signal();
    private volatile boolean lost;
    private volatile long lastResponseAt;

    /**
     * Creates an instance that takes all targets for reachable.
     *
     * @param probe asks a target on a new connection; returns whether it has responded in a short
     *     time
     * @param random selects the targets that are asked
     */
    public TargetReach(
            TargetDirectory directory,
            Predicate<Target> probe,
            EventLog log,
            Ticker ticker,
            RandomGenerator random) {
        this.directory = directory;
        this.probe = probe;
        this.log = log;
        this.ticker = ticker;
        this.random = random;
        lastResponseAt = ticker.nanos() - RESPONSE_VALIDITY.toNanos();
    }

    /** Starts the task that makes the checks. */
    public void start(Supervisor supervisor) {
        supervisor.start("target-reach", this::run);
    }

    /** Returns whether no target responds. */
    public boolean isLost() {
        return lost;
    }

    /** Records that a target has not responded to a request. */
    public void recordFailure() {
        failure.raise();
    }

    /** Records that a target has responded on a new connection. */
    public void recordResponse() {
        lastResponseAt = ticker.nanos();
    }

    private void run() {
        boolean keepRunning = true;
        while (keepRunning) {
            keepRunning = lost ? Tasks.sleep(RECOVERY_INTERVAL) : awaitFailure();
            if (keepRunning && (lost || !hasRecentResponse())) {
                check();
                keepRunning = lost || Tasks.sleep(MIN_INTERVAL);
            }
        }
    }

    /** Waits for a failure; the time limit only bounds the wait. */
    private boolean awaitFailure() {
        return failure.await(Duration.ofDays(1));
    }

    private boolean hasRecentResponse() {
        return ticker.nanos() - lastResponseAt < RESPONSE_VALIDITY.toNanos();
    }

    /**
     * Asks a target, and some others if it does not respond soon, and records whether any of them
     * responds.
     */
    public void check() {
        List<Target> candidates = selectTargets();
        Probes probes = new Probes();
        boolean responded = candidates.isEmpty() || anyResponds(candidates, probes);
        if (lost == responded) {
            lost = !responded;
            log.event(lost ? "targets_out_of_reach" : "targets_in_reach")
                    .with("asked", probes.started())
                    .write();
        }
    }

    private boolean anyResponds(List<Target> candidates, Probes probes) {
        if (lost) {
            candidates.stream().limit(TARGETS_WHILE_LOST).forEach(probes::start);
            return probes.awaitResponse(MAX_PROBE_TIME);
        }
        // One is mostly enough, and checks are frequent while some targets are at fault.
        probes.start(candidates.getFirst());
        if (probes.awaitResponse(FIRST_RESPONSE_TIME)) {
            return true;
        }
        candidates.stream().skip(1).forEach(probes::start);
        return probes.awaitResponse(MAX_PROBE_TIME);
    }

    /** The probes of a check, each in a task of its own. */
    private final class Probes {
        private int started;
        private int open;
        private boolean responded;

        synchronized int started() {
            return started;
        }

        synchronized void start(Target target) {
            started++;
            open++;
            Tasks.start("reach-" + target, () -> run(target));
        }

        private void run(Target target) {
            boolean response = false;
            try {
                response = probe.test(target);
            } finally {
                end(response);
            }
        }

        private synchronized void end(boolean response) {
            open--;
            responded |= response;
            notifyAll();
        }

        /**
         * Waits until a target has responded, none can do so any more, or a time has passed.
         *
         * @return whether a target has responded; true also if the task was interrupted, which
         *     tells nothing of the targets
         */
        synchronized boolean awaitResponse(Duration timeout) {
            long endsAt = System.nanoTime() + timeout.toNanos();
            try {
                while (!responded && open > 0 && endsAt - System.nanoTime() > 0) {
                    TimeUnit.NANOSECONDS.timedWait(this, endsAt - System.nanoTime());
                }
                return responded;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return true;
            }
        }
    }

    /** Selects targets at random, of as many services as possible. */
    private List<Target> selectTargets() {
        List<ServiceId> services = new ArrayList<>(directory.services());
        Random shuffle = Random.from(random);
        Collections.shuffle(services, shuffle);
        List<List<Target>> candidates = new ArrayList<>();
        for (ServiceId service : services) {
            List<Target> targets = new ArrayList<>(directory.targets(service));
            targets.removeIf(Target::isGoingAway);
            Collections.shuffle(targets, shuffle);
            candidates.add(targets);
        }
        List<Target> selected = new ArrayList<>();
        for (int i = 0; selected.size() < TARGETS_PER_CHECK; i++) {
            int before = selected.size();
            for (List<Target> targets : candidates) {
                if (i < targets.size() && selected.size() < TARGETS_PER_CHECK) {
                    selected.add(targets.get(i));
                }
            }
            if (selected.size() == before) {
                break;
            }
        }
        return selected;
    }
}
