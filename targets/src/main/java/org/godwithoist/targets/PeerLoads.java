package org.godwithoist.targets;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
     * Age from which a report is no longer used; at the report interval, at least two reports in a
     * row are lost by then.
     */
    public static final Duration FRESH = Duration.ofMillis(800);

    /** A daemon that has not reported for this long no longer makes a view incomplete. */
    static final Duration EXPECTED = Duration.ofSeconds(10);

    /**
     * Time for which a computed view is reused, so that a burst of requests does not recompute it
     * for each one.
     */
    private static final Duration VIEW_LIFE = Duration.ofMillis(20);

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
     * @param incarnation start of the reporting daemon
     * @param sequence grows with each report of an incarnation
     * @param scope daemons whose requests are counted
     * @param complete whether the reports of all daemons in the scope are included
     * @param calls requests in flight at each target
     * @param reads prefixes that engines have cached for these daemons within the last second or so
     */
    public record Report(
            long incarnation,
            long sequence,
            Scope scope,
            boolean complete,
            Map<TargetId, Integer> calls,
            List<PartsRead> reads) {
        /** Copies the collections. */
        public Report {
            calls = Map.copyOf(calls);
            reads = List.copyOf(reads);
        }

        /**
         * Returns this report with the sum of a scope instead of the daemon's own requests.
         *
         * @param sum requests of the scope
         * @param read prefixes that engines have cached for the scope
         */
        public Report withSum(Scope summed, View sum, List<PartsRead> read) {
            return new Report(incarnation, sequence, summed, sum.complete(), sum.calls(), read);
        }
    }

    /**
     * Requests of the other daemons at one moment.
     *
     * @param calls sum for each target; a target without requests is absent
     * @param complete whether every daemon that is expected to report has done so
     */
    public record View(Map<TargetId, Integer> calls, boolean complete) {
        /** Returns the requests at a target; 0 if there are none. */
        public int calls(TargetId target) {
            return calls.getOrDefault(target, 0);
        }

        /** Returns this view with the requests of one more daemon. */
        public View with(Map<TargetId, Integer> more) {
            Map<TargetId, Integer> sums = new HashMap<>(calls);
            more.forEach((target, n) -> sums.merge(target, n, Integer::sum));
            return new View(sums, complete);
        }

        /**
         * Returns this view without the requests of one daemon. The count of a target does not go
         * below 0, because a report that arrives in between may count more requests than the view
         * does.
         */
        public View without(Map<TargetId, Integer> fewer) {
            Map<TargetId, Integer> rest = new HashMap<>(calls);
            fewer.forEach(
                    (target, n) -> rest.computeIfPresent(target, (t, all) -> Math.max(0, all - n)));
            return new View(rest, complete);
        }
    }

    private record Told(Report report, long at) {}

    private final Ticker ticker;
    private final Map<HostId, Told> byPeer = new HashMap<>();
    private View view = new View(Map.of(), false);
    private long viewAt;
    private boolean stale = true;

    /** Creates an instance without reports. */
    public PeerLoads(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Records a report. A report that is older than the last one of the same incarnation is
     * ignored.
     */
    public synchronized void take(HostId peer, Report report) {
        Told known = byPeer.get(peer);
        boolean overtaken =
                known != null
                        && known.report().incarnation() == report.incarnation()
                        && known.report().sequence() >= report.sequence();
        if (!overtaken) {
            byPeer.put(peer, new Told(report, ticker.nanos()));
            stale = true;
        }
    }

    /** Returns the current view. */
    public synchronized View view() {
        long now = ticker.nanos();
        if (stale || now - viewAt >= VIEW_LIFE.toNanos()) {
            view = compute(now);
            viewAt = now;
            stale = false;
        }
        return view;
    }

    /** Returns the current requests of the daemons that report with scope {@link Scope#OWN}. */
    public synchronized View own() {
        return sum(ticker.nanos(), List.of(Scope.OWN));
    }

    /**
     * Returns the last reported requests of a daemon; empty if its report is too old or has another
     * scope.
     */
    public synchronized Map<TargetId, Integer> ownCalls(HostId peer) {
        Told told = byPeer.get(peer);
        boolean usable = told != null && told.report().scope() == Scope.OWN;
        return usable && isFresh(told, ticker.nanos()) ? told.report().calls() : Map.of();
    }

    private View compute(long now) {
        byPeer.values().removeIf(t -> now - t.at() >= EXPECTED.toNanos());
        Optional<Report> fleet =
                byPeer.entrySet().stream()
                        .filter(e -> e.getValue().report().scope() == Scope.FLEET)
                        .filter(e -> isFresh(e.getValue(), now))
                        .min(Map.Entry.comparingByKey())
                        .map(e -> e.getValue().report());
        return fleet.map(r -> new View(r.calls(), r.complete()))
                .orElseGet(() -> sum(now, List.of(Scope.OWN, Scope.DOMAIN)));
    }

    private View sum(long now, List<Scope> scopes) {
        Map<TargetId, Integer> sums = new HashMap<>();
        boolean complete = !byPeer.isEmpty();
        for (Told told : byPeer.values()) {
            Scope scope = told.report().scope();
            boolean counts = scopes.contains(scope);
            if (!isFresh(told, now)) {
                // The successor of an unresponsive leader does not have the leader's sums yet.
                complete &= !counts && scope != Scope.FLEET;
                continue;
            }
            if (!counts) {
                continue;
            }
            complete &= told.report().complete();
            told.report().calls().forEach((target, n) -> sums.merge(target, n, Integer::sum));
        }
        return new View(sums, complete);
    }

    private static boolean isFresh(Told told, long now) {
        return now - told.at() < FRESH.toNanos();
    }
}
