package org.godwithoist.targets;

import java.time.Duration;
import java.util.Optional;

/**
 * How long work takes on the host of a target, as a multiple of the usual time. It is known from
 * the target's reports to this daemon and to others, and corrected by responses that are newer than
 * the reports. A reading loses weight with age, and the usual time takes its place. Changed by one
 * thread at a time, and read by any.
 */
final class WorkTime {
    /** Work takes its usual time. */
    static final double USUAL = 1;

    /**
     * Age at which a reading has no weight any more; until then, it loses weight linearly. The
     * conditions on a host last for about that long.
     */
    static final Duration LIFETIME = Duration.ofMillis(600);

    /** Age of a reading when it arrives in a response. */
    private static final Duration AGE_AT_ARRIVAL = Duration.ofMillis(100);

    /** Time by which the reading of another daemon must be newer than the known one. */
    private static final Duration MIN_ADVANCE = Duration.ofMillis(50);

    /** Limits of a reading, so that an absurd one neither attracts nor repels all requests. */
    private static final double MIN_FACTOR = 0.5;

    private static final double MAX_FACTOR = 8;

    /**
     * Weight of a response compared with a reading. Low, because the time to a first byte depends
     * on more than the host.
     */
    private static final double RESPONSE_WEIGHT = 0.2;

    private static final double PERCENT = 100;

    /**
     * What is known.
     *
     * @param factor reading, or time of a response, as a multiple of the usual time
     * @param at time of the reading or of the response
     * @param known whether there was one
     */
    private record Sample(double factor, long at, boolean known) {
        static final Sample NONE = new Sample(USUAL, 0, false);

        double weight(long now) {
            return known ? Math.clamp(1 - (double) (now - at) / LIFETIME.toNanos(), 0, 1) : 0;
        }
    }

    private volatile int percent;
    private volatile Sample reading = Sample.NONE;
    private volatile Sample response = Sample.NONE;

    /** Records the figure of a response that arrives now. */
    void recordReport(int reported, long now) {
        recordReading(new WorkTimeReading(reported, AGE_AT_ARRIVAL), now);
    }

    /** Records a reading unless a newer one is known; returns whether it was recorded. */
    boolean recordReading(WorkTimeReading next, long now) {
        long at = now - next.age().toNanos();
        boolean outdated = reading.known() && at - reading.at() <= 0;
        if (outdated || next.percent() <= 0) {
            return false;
        }
        percent = next.percent();
        reading = new Sample(clamp(percent / PERCENT), at, true);
        if (response.at() - at <= 0) {
            response = Sample.NONE;
        }
        return true;
    }

    /**
     * Records what another daemon tells, unless about as new a reading is known. Delays between
     * daemons are not part of the age, so that a reading that comes back looks a little newer.
     */
    boolean recordPeerReading(WorkTimeReading next, long now) {
        long advance = now - next.age().toNanos() - reading.at();
        boolean isKnown = reading.known() && advance < MIN_ADVANCE.toNanos();
        return !isKnown && recordReading(next, now);
    }

    /** Records how long a response took, as a multiple of the usual time. */
    void recordResponse(double factor, long now) {
        response = new Sample(clamp(factor), now, true);
    }

    /** Returns how long work takes now, as a multiple of the usual time. */
    double factor(long now) {
        Sample lastReading = reading;
        Sample lastResponse = response;
        double reported = USUAL + lastReading.weight(now) * (lastReading.factor() - USUAL);
        double correction = RESPONSE_WEIGHT * lastResponse.weight(now);
        return reported + correction * (lastResponse.factor() - reported);
    }

    /** Returns the last reading; empty if it has no weight any more. */
    Optional<WorkTimeReading> reading(long now) {
        return reading.weight(now) > 0
                ? Optional.of(new WorkTimeReading(percent, Duration.ofNanos(now - reading.at())))
                : Optional.empty();
    }

    private static double clamp(double factor) {
        return Math.clamp(factor, MIN_FACTOR, MAX_FACTOR);
    }
}
