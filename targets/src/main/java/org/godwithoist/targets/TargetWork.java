package org.godwithoist.targets;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.time.Ticker;

/**
 * Work that this daemon has sent to one target and that has not ended, and how long work takes
 * there. Thread-safe.
 */
public final class TargetWork {
    /** In a large fleet, a daemon hears of a target only several times a minute. */
    private static final Duration MAX_SILENCE = Duration.ofMinutes(1);

    private final ServiceSpeed speed;
    private final Ticker ticker;
    private final WorkTime workTime = new WorkTime();
    private volatile TokenWork outstanding = TokenWork.NONE;
    private volatile boolean hasReported;
    private volatile long lastReportAt;

    /**
     * Creates an instance without work.
     *
     * @param speed speed of the target's service
     */
    TargetWork(ServiceSpeed speed, Ticker ticker) {
        this.speed = speed;
        this.ticker = ticker;
    }

    /** Returns whether the target reports how long work takes on its host. */
    public boolean reportsWorkTime() {
        return hasReported && ticker.nanos() - lastReportAt < MAX_SILENCE.toNanos();
    }

    /** Returns how long work takes on the target's host now, as a multiple of the usual time. */
    public double workTimeFactor() {
        return workTimeFactor(ticker.nanos());
    }

    double workTimeFactor(long now) {
        return workTime.factor(now);
    }

    /** Returns the work that this daemon has sent to the target and that has not ended. */
    public TokenWork outstanding() {
        return outstanding;
    }

    /** Returns the speed of the target's service. */
    public ServiceSpeed speed() {
        return speed;
    }

    /** Returns the last reading of the work time; empty if it is too old to have any weight. */
    synchronized Optional<WorkTimeReading> reading() {
        return workTime.reading(ticker.nanos());
    }

    /** Records the figure of a response that arrives now. */
    synchronized void recordReport(int percent) {
        workTime.recordReport(percent, ticker.nanos());
        reported();
    }

    /** Records what another daemon tells about the work time. */
    synchronized void recordPeerReading(WorkTimeReading reading) {
        if (workTime.recordPeerReading(reading, ticker.nanos())) {
            reported();
        }
    }

    private void reported() {
        lastReportAt = ticker.nanos();
        hasReported = true;
    }

    synchronized void requestSent(RequestWork work) {
        outstanding = outstanding.plus(work.tokens());
    }

    /** Records that the target has processed the prompt of a request, or never will. */
    synchronized void prefillEnded(RequestWork work) {
        outstanding = outstanding.minus(new TokenWork(work.tokens().prefill(), 0));
    }

    /** Records that the target needs no more memory for a request. */
    synchronized void released(RequestWork work) {
        outstanding = outstanding.minus(new TokenWork(0, work.tokens().held()));
    }

    /**
     * Learns from a response. Only a request that found little other work shows the speed of the
     * service and of the host.
     *
     * @param ms time to its first byte
     */
    synchronized void recordResponse(RequestWork work, double ms) {
        prefillEnded(work);
        if (!work.alone() || work.tokens().isNone()) {
            return;
        }
        long now = ticker.nanos();
        long prefill = work.tokens().prefill();
        double usualMs = ms / workTime.factor(now);
        workTime.recordResponse(ms / speed.expectedMs(prefill), now);
        speed.record(prefill, usualMs);
    }
}
