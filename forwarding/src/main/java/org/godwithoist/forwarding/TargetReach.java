package org.godwithoist.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
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
 * the target may be at fault. So a failure only starts a check, which asks several targets of
 * different services over new connections; if none responds, no target counts as reachable until
 * one does. Connections that were open before say nothing, since they may live on while new ones
 * are refused. Thread-safe.
 */
public final class TargetReach {
    /** Targets that are asked in a check, unless there are fewer. */
    private static final int TARGETS_PER_CHECK = 5;

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

    /** Asks some targets at the same time and records whether any of them responds. */
    public void check() {
        List<Target> asked = selectTargets();
        boolean responded = asked.isEmpty() || anyResponds(asked);
        if (lost == responded) {
            lost = !responded;
            log.event(lost ? "targets_out_of_reach" : "targets_in_reach")
                    .with("asked", asked.size())
                    .write();
        }
    }

    private boolean anyResponds(List<Target> asked) {
        AtomicBoolean responded = new AtomicBoolean();
        CountDownLatch open = new CountDownLatch(asked.size());
        for (Target t : asked) {
            Tasks.start(
                    "reach-" + t,
                    () -> {
                        try {
                            if (probe.test(t)) {
                                responded.set(true);
                            }
                        } finally {
                            open.countDown();
                        }
                    });
        }
        try {
            open.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return responded.get();
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
