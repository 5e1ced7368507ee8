package org.godwithoist.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.godwithoist.admission.TargetLoadReport;
import org.godwithoist.admission.TargetLoadReports;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.FleetTargets;
import org.godwithoist.membership.Target;

/**
 * Polls the load reports of targets: at a short interval for the shards that this daemon owns, at a
 * longer one for other targets, whose reports are only needed to open reserved slots. Each target
 * has its own task, so that an unresponsive target does not delay the others. Thread-safe.
 */
final class TargetLoadPoller implements TargetLoadReports {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration OWNED_POLL_INTERVAL = Duration.ofMillis(250);

    /** Less than 3 s, the maximum age of a report for reserved slots without an owner. */
    private static final Duration UNOWNED_POLL_INTERVAL = Duration.ofMillis(1_500);

    /**
     * Number of targets up to which all are polled; above it only owned targets and those queried
     * recently. Polling one target takes about 250 bytes per second.
     */
    private static final int MAX_TARGETS_TO_POLL_ALL = 32;

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

    /** Time since the last query after which a target that is not owned is no longer polled. */
    private static final Duration QUERIED_TARGET_RETENTION = Duration.ofSeconds(10);

    private final FleetTargets targets;
    private final TargetLoadClient client;
    private final Ticker ticker;
    private final Map<TargetId, TargetLoadReport> latest = new ConcurrentHashMap<>();
    private final Map<TargetId, Long> lastQueryAt = new ConcurrentHashMap<>();
    private final Map<TargetId, Thread> pollTasks = new ConcurrentHashMap<>();
    private volatile Predicate<Target> isOwned = t -> false;

    TargetLoadPoller(FleetTargets targets, TargetLoadClient client, Ticker ticker) {
        this.targets = targets;
        this.client = client;
        this.ticker = ticker;
    }

    /**
     * Starts to poll.
     *
     * @param ownedTargets matches the targets of the shards that this daemon owns
     */
    void start(Predicate<Target> ownedTargets) {
        isOwned = ownedTargets;
        Tasks.start("target-probes", this::startPollTasks);
    }

    @Override
    public Optional<TargetLoadReport> latest(TargetId target) {
        return Optional.ofNullable(latest.get(target));
    }

    /**
     * Returns the incarnation of a target, or empty before its first load report. The target is
     * polled for some time after the query.
     */
    Optional<String> incarnation(TargetId target) {
        lastQueryAt.put(target, ticker.nanos());
        return latest(target).map(TargetLoadReport::incarnation);
    }

    private void startPollTasks() {
        do {
            targets.all().stream()
                    .filter(this::shouldPoll)
                    .forEach(
                            t ->
                                    pollTasks.computeIfAbsent(
                                            t.id(),
                                            id -> Tasks.start("probe-" + id, () -> poll(id))));
        } while (Tasks.sleep(OWNED_POLL_INTERVAL));
    }

    private boolean shouldPoll(Target t) {
        Long queriedAt = lastQueryAt.get(t.id());
        boolean recentlyQueried =
                queriedAt != null
                        && ticker.nanos() - queriedAt < QUERIED_TARGET_RETENTION.toNanos();
        return recentlyQueried
                || targets.all().size() <= MAX_TARGETS_TO_POLL_ALL
                || isOwned.test(t);
    }

    private void poll(TargetId id) {
        Optional<Target> target = targets.find(id);
        while (target.isPresent() && shouldPoll(target.get())) {
            read(target.get());
            Duration interval =
                    isOwned.test(target.get()) ? OWNED_POLL_INTERVAL : UNOWNED_POLL_INTERVAL;
            if (!Tasks.sleep(interval)) {
                break;
            }
            target = targets.find(id);
        }
        pollTasks.remove(id);
        latest.remove(id);
    }

    private void read(Target target) {
        try {
            latest.put(target.id(), Await.result(client.read(target), READ_TIMEOUT));
        } catch (RuntimeException e) {
            LOG.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                    "cannot read the load report of target %s: %s", target.id(), e);
        }
    }
}
