package org.godwithoist.targets;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;

/**
 * Requests that the other daemons have in flight at each target, as they report several times a
 * second. The report of a daemon that stops sending is dropped after a short time, because its
 * requests may have ended with it. Thread-safe.
 */
public final class PeerLoads {
    /**
     * Age from which a report is no longer used. It spans several report intervals, so that at
     * least two reports in a row must be lost for a daemon to drop out.
     */
    public static final Duration MAX_REPORT_AGE = Duration.ofMillis(800);

    /** Time without reports after which a daemon is forgotten and no longer expected to report. */
    static final Duration PEER_EXPIRY = Duration.ofSeconds(10);

    /**
     * Time for which a computed view is reused, so that a burst of requests does not recompute it
     * for each one.
     */
    static final Duration VIEW_TTL = Duration.ofMillis(20);

    /** Set of daemons whose requests a report counts. */
    public enum Scope {
        /** The reporting daemon only. */
        OWN,
        /** All daemons of a failure domain. */
        DOMAIN,
        /** All daemons except the one that receives the report. */
        FLEET
    }

    /**
     * Load report of one daemon.
     *
     * @param incarnation start time of the reporting daemon
     * @param sequence increases with each report of an incarnation
     * @param scope daemons whose requests are counted
     * @param complete whether the reports of all daemons in the scope are included
     * @param requests requests in flight at each target
     * @param cachedPrefixes prefixes that engines have cached for these daemons in about the last
     *     second
     * @param leaving targets that have recently announced that they are leaving
     * @param rateNews what the daemon knows about the rate limits of targets
     * @param rejectionNews what the daemon knows about the rejection limits of targets
     */
    public record Report(
            long incarnation,
            long sequence,
            Scope scope,
            boolean complete,
            Map<TargetId, Integer> requests,
            List<CachedPrefix> cachedPrefixes,
            Set<TargetIncarnation> leaving,
            List<LimitNews<RateLimit>> rateNews,
            List<LimitNews<RejectionLimit>> rejectionNews) {
        /** Copies the collections. */
        public Report {
            requests = Map.copyOf(requests);
            cachedPrefixes = List.copyOf(cachedPrefixes);
            leaving = Set.copyOf(leaving);
            rateNews = List.copyOf(rateNews);
            rejectionNews = List.copyOf(rejectionNews);
        }

        /** Creates a report without limits of targets. */
        public Report(
                long incarnation,
                long sequence,
                Scope scope,
                boolean complete,
                Map<TargetId, Integer> requests,
                List<CachedPrefix> cachedPrefixes,
                Set<TargetIncarnation> leaving) {
            this(
                    incarnation,
                    sequence,
                    scope,
                    complete,
                    requests,
                    cachedPrefixes,
                    leaving,
                    List.of(),
                    List.of());
        }

        /** Creates a report without leaving targets and limits of targets. */
        public Report(
                long incarnation,
                long sequence,
                Scope scope,
                boolean complete,
                Map<TargetId, Integer> requests,
                List<CachedPrefix> cachedPrefixes) {
            this(incarnation, sequence, scope, complete, requests, cachedPrefixes, Set.of());
        }

        /**
         * Returns this report with the sum of a scope instead of the daemon's own requests.
         *
         * @param sum requests of the scope
         * @param prefixes prefixes that engines have cached for the scope
         */
        public Report withSum(Scope summedScope, View sum, List<CachedPrefix> prefixes) {
            return new Report(
                    incarnation,
                    sequence,
                    summedScope,
                    sum.complete(),
                    sum.requests(),
                    prefixes,
                    leaving,
                    rateNews,
                    rejectionNews);
        }
    }

    /**
     * Requests of the other daemons at one moment.
     *
     * @param requests sum for each target; a target without requests is absent
     * @param complete whether every daemon that is expected to report has done so
     */
    public record View(Map<TargetId, Integer> requests, boolean complete) {
        /** Returns the requests at a target; 0 if there are none. */
        public int requests(TargetId target) {
            return requests.getOrDefault(target, 0);
        }

        /** Returns this view with the requests of one more daemon. */
        public View with(Map<TargetId, Integer> more) {
            Map<TargetId, Integer> sums = new HashMap<>(requests);
            more.forEach((target, n) -> sums.merge(target, n, Integer::sum));
            return new View(sums, complete);
        }

        /**
         * Returns this view without the requests of one daemon. The count of a target does not go
         * below 0, because a report that arrives in between may count more requests than the view
         * does.
         */
        public View without(Map<TargetId, Integer> fewer) {
            Map<TargetId, Integer> remaining = new HashMap<>(requests);
            fewer.forEach(
                    (target, n) ->
                            remaining.computeIfPresent(target, (t, all) -> Math.max(0, all - n)));
            return new View(remaining, complete);
        }
    }

    private final Ticker ticker;
    private final PeerReports<Report> reports = new PeerReports<>(MAX_REPORT_AGE, PEER_EXPIRY);
    private View view = new View(Map.of(), false);
    private long viewComputedAt;
    private boolean viewOutdated = true;

    /** Creates an instance without reports. */
    public PeerLoads(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns the clock that the ages of reports are computed with. */
    Ticker ticker() {
        return ticker;
    }

    /**
     * Records a report. A report that is older than the last one of the same incarnation is
     * ignored.
     */
    public synchronized void receive(HostId peer, Report report) {
        PeerReports.Header header =
                new PeerReports.Header(
                        report.incarnation(), report.sequence(), report.scope(), report.complete());
        viewOutdated |= reports.receive(peer, header, report, ticker.nanos());
    }

    /** Returns the current view. */
    public synchronized View view() {
        long now = ticker.nanos();
        if (viewOutdated || now - viewComputedAt >= VIEW_TTL.toNanos()) {
            view = sum(reports.select(now));
            viewComputedAt = now;
            viewOutdated = false;
        }
        return view;
    }

    /** Returns the current requests of the daemons that report with scope {@link Scope#OWN}. */
    public synchronized View ownView() {
        return sum(reports.select(ticker.nanos(), Set.of(Scope.OWN)));
    }

    /**
     * Returns the last reported requests of a daemon; empty if its report is too old or has another
     * scope.
     */
    public synchronized Map<TargetId, Integer> ownRequests(HostId peer) {
        return reports.own(peer, ticker.nanos()).map(Report::requests).orElse(Map.of());
    }

    private static View sum(PeerReports.Selection<Report> selection) {
        Map<TargetId, Integer> sums = new HashMap<>();
        for (Report report : selection.reports()) {
            report.requests().forEach((target, n) -> sums.merge(target, n, Integer::sum));
        }
        return new View(sums, selection.complete());
    }
}
