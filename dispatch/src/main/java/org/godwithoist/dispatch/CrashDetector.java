package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.quarantine.SuspectId;
import org.godwithoist.targets.Target;

/**
 * Finds targets that crash when they begin to respond to a request, and reports these crashes and
 * the responses that targets survive to the quarantine. Thread-safe.
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
        List<SuspectId> suspects = request.suspectIds();
        if (suspects.isEmpty()) {
            return;
        }
        if (result.progress() == ResponseProgress.ESTABLISHED) {
            long respondedAt = startedAt + result.timeToFirstByte().orElseThrow().toNanos();
            quarantine.recordResponse(suspects, respondedAt);
        }
        if (result.progress() == ResponseProgress.BEGUN && result.outcome().isConnectionLoss()) {
            if (gateway.acceptsConnections(target)) {
                Tasks.start("crash-check-" + target, () -> checkAgain(target, suspects));
            } else {
                recordCrash(target, suspects);
            }
        }
    }

    private void checkAgain(Target target, List<SuspectId> suspects) {
        if (Tasks.sleep(SECOND_CHECK_DELAY) && !gateway.findPresence(target).mayBeAlive()) {
            recordCrash(target, suspects);
        }
    }

    private void recordCrash(Target target, List<SuspectId> suspects) {
        quarantine.recordCrash(target.entry().incarnation(), suspects);
    }
}
