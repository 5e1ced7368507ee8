package org.godwithoist.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.targets.SoftwareVersion;

/**
 * Collects this daemon's own evidence for one order. A caller keeps the recorder from the start to
 * the end of an attempt, so that a late answer counts for the order under which it was sent.
 * Thread-safe.
 */
public final class EvidenceRecorder {
    private final RolloutOrder order;
    private final Map<RouteId, Map<Release, Tally>> routes = new HashMap<>();

    /** Creates a recorder without evidence. */
    public EvidenceRecorder(RolloutOrder order) {
        this.order = order;
    }

    /** Returns the order for which it collects. */
    public RolloutOrder order() {
        return order;
    }

    /**
     * Records that an attempt is sent to a target.
     *
     * @param version version of the target; empty if its entry names none
     * @return handle with which the caller reports how the attempt goes on
     */
    public synchronized Attempt sent(RouteId route, Optional<SoftwareVersion> version) {
        Tally tally = tally(route, version);
        tally.sent++;
        return new Attempt(this, tally);
    }

    /** Returns what was recorded so far, with at most {@link Evidence#MAX_ROUTES} routes. */
    public synchronized Evidence evidence() {
        Evidence sum = Evidence.NONE;
        for (Map.Entry<RouteId, Map<Release, Tally>> route : routes.entrySet()) {
            for (Map.Entry<Release, Tally> release : route.getValue().entrySet()) {
                sum =
                        sum.plus(
                                Evidence.of(
                                        route.getKey(),
                                        release.getKey(),
                                        release.getValue().counts()));
            }
        }
        return sum;
    }

    private Tally tally(RouteId route, Optional<SoftwareVersion> version) {
        // The last place is kept for the routes that come later.
        boolean full = routes.size() >= Evidence.MAX_ROUTES - 1;
        RouteId name = full && !routes.containsKey(route) ? Evidence.OTHER_ROUTES : route;
        return routes.computeIfAbsent(name, r -> new HashMap<>())
                .computeIfAbsent(Release.of(order, version), r -> new Tally());
    }

    /**
     * One attempt, from its start to its end. Reports after the end and repeated reports change
     * nothing. Thread-safe.
     */
    public static final class Attempt {
        private final EvidenceRecorder recorder;
        private final Tally tally;
        private boolean answered;
        private boolean failed;
        private boolean over;

        private Attempt(EvidenceRecorder recorder, Tally tally) {
            this.recorder = recorder;
            this.tally = tally;
        }

        /**
         * Records that a response without a server error has begun.
         *
         * @param latency time from sending the request to the first byte of the response
         */
        public void responded(Duration latency) {
            synchronized (recorder) {
                if (answered || over) {
                    return;
                }
                answered = true;
                tally.answers++;
                tally.latencies[LatencyHistogram.bucketOf(latency)]++;
            }
        }

        /** Records a response with a server error, or an attempt that broke off or timed out. */
        public void failed() {
            synchronized (recorder) {
                if (failed || over) {
                    return;
                }
                failed = true;
                tally.failures++;
                if (!answered) {
                    answered = true;
                    tally.answers++;
                }
            }
        }

        /**
         * Records that the attempt is over. If it was neither answered nor failed, it says nothing
         * about the target: the caller left, or the target refused it as not run.
         */
        public void ended() {
            synchronized (recorder) {
                if (over) {
                    return;
                }
                over = true;
                tally.ended++;
                if (!answered) {
                    tally.cancelled++;
                }
            }
        }
    }

    /** Counts of one release on one route; guarded by the recorder. */
    private static final class Tally {
        private final long[] latencies = new long[LatencyHistogram.BUCKETS];
        private long sent;
        private long answers;
        private long failures;
        private long cancelled;
        private long ended;

        private Counts counts() {
            return new Counts(
                    sent, answers, failures, cancelled, ended, LatencyHistogram.of(latencies));
        }
    }
}
