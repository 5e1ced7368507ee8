package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.quarantine.SuspectId;
import org.godwithoist.targets.Target;

/**
 * Finds targets that crash while they run a request, and reports these crashes and the responses
 * that targets survive to the quarantine. Thread-safe.
 */
final class CrashDetector {
    /**
     * Delay of the second check of a target that still accepts connections, because a process may
     * close its connections some time before its listener. The second check also recognizes another
     * process or incarnation, and therefore costs more than the first one.
     */
    private static final Duration SECOND_CHECK_DELAY = Duration.ofMillis(150);

    private final Quarantine quarantine;
    private final TargetGateway gateway;

    /**
     * Suspects of the requests that each target has lost before its second check, which is made
     * once for all of them.
     */
    private final Map<Target, List<List<SuspectId>>> awaitingCheck = new HashMap<>();

    CrashDetector(Quarantine quarantine, TargetGateway gateway) {
        this.quarantine = quarantine;
        this.gateway = gateway;
    }

    /**
     * Examines an attempt that has ended. A crash is reported before the method returns, if the
     * target no longer accepts connections by then, so that a retry of the request takes it into
     * account.
     *
     * @param startedAt start of the attempt, in nanoseconds of the ticker
     */
    void attemptEnded(Request request, Target target, AttemptResult result, long startedAt) {
        if (result.progress() == ResponseProgress.ESTABLISHED) {
            long respondedAt = startedAt + result.timeToFirstByte().orElseThrow().toNanos();
            quarantine.recordResponse(request.suspectIds(), respondedAt);
        }
        if (result.outcome() == AttemptOutcome.FAILURE_ANSWER) {
            // The target has survived the request, but may not have read all parts of its prompt.
            quarantine.recordResponse(requestId(request), startedAt);
        }
        // The end of a target that is going away is planned, whatever it runs.
        if (!result.outcome().isConnectionLoss() || target.isGoingAway()) {
            return;
        }
        List<SuspectId> suspects = suspects(request, result.progress());
        if (suspects.isEmpty()) {
            return;
        }
        if (gateway.acceptsConnections(target)) {
            checkLater(target, suspects);
        } else {
            quarantine.recordCrash(target.entry().incarnation(), suspects);
        }
    }

    /**
     * Returns what may be to blame if the target has crashed. Before the head of its response a
     * request may have been waiting at the target like many others, which share parts with it, so
     * that only the request itself is suspected.
     */
    private static List<SuspectId> suspects(Request request, ResponseProgress progress) {
        return switch (progress) {
            case NONE -> requestId(request);
            case BEGUN -> request.suspectIds();
            case PARTIAL, ESTABLISHED -> List.of();
        };
    }

    private static List<SuspectId> requestId(Request request) {
        return request.fingerprint().map(SuspectId::of).stream().toList();
    }

    private void checkLater(Target target, List<SuspectId> suspects) {
        synchronized (awaitingCheck) {
            List<List<SuspectId>> lost = awaitingCheck.get(target);
            if (lost != null) {
                lost.add(suspects);
                return;
            }
            awaitingCheck.put(target, new ArrayList<>(List.of(suspects)));
        }
        Tasks.start("crash-check-" + target, () -> checkAgain(target));
    }

    private void checkAgain(Target target) {
        boolean delayed = Tasks.sleep(SECOND_CHECK_DELAY);
        List<List<SuspectId>> lost;
        synchronized (awaitingCheck) {
            lost = awaitingCheck.remove(target);
        }
        if (delayed && !gateway.findPresence(target).mayBeAlive()) {
            lost.forEach(s -> quarantine.recordCrash(target.entry().incarnation(), s));
        }
    }
}
