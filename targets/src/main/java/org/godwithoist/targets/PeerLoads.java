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
 * Calls that the other daemons have at each target, as they tell it several times a second. A
 * daemon that falls silent is left out after a short time, because its calls may have ended with
 * it. Thread-safe.
 */
public final class PeerLoads {
    /** Age from which a message is not used; two or more in a row are lost by then. */
    public static final Duration FRESH = Duration.ofMillis(800);

    /** A daemon that has been silent for this long is no longer expected to tell its calls. */
    static final Duration EXPECTED = Duration.ofSeconds(10);

    /** A view is used for this long, so that a burst of calls does not compute it for each. */
    private static final Duration VIEW_LIFE = Duration.ofMillis(20);

    /** Whose calls a report counts. */
    public enum Scope {
        /** Those of the daemon that tells it. */
        OWN,
        /** Those of all daemons of a failure domain. */
        DOMAIN,
        /** Those of all daemons but the one that is told. */
        FLEET
    }

    /**
     * What one daemon tells.
     *
     * @param incarnation start of the daemon that tells it
     * @param sequence grows with each message of a start
     * @param scope whose calls it counts
     * @param complete whether no daemon of the scope is missing
     * @param calls calls in progress at each target
     * @param reads parts that engines have read for these daemons in the last second or so
     */
    public record Report(
            long incarnation,
            long sequence,
            Scope scope,
            boolean complete,
            Map<TargetId, Integer> calls,
            List<PartsRead> reads) {
        /** Copies the lists. */
        public Report {
            calls = Map.copyOf(calls);
            reads = List.copyOf(reads);
        }

        /**
         * Returns this message with the sum of a scope in place of its own calls.
         *
         * @param sum calls of the scope
         * @param read parts that engines have read for the scope
         */
        public Report withSum(Scope summed, View sum, List<PartsRead> read) {
            return new Report(incarnation, sequence, summed, sum.complete(), sum.calls(), read);
        }
    }

    /**
     * The calls of the other daemons at one moment.
     *
     * @param calls sum for each target; a target without calls is absent
     * @param complete whether every daemon that is expected to tell its calls has done so
     */
    public record View(Map<TargetId, Integer> calls, boolean complete) {
        /** Returns the calls at a target. */
        public int calls(TargetId target) {
            return calls.getOrDefault(target, 0);
        }

        /** Returns this view with the calls of one more daemon. */
        public View with(Map<TargetId, Integer> more) {
            Map<TargetId, Integer> sums = new HashMap<>(calls);
            more.forEach((target, n) -> sums.merge(target, n, Integer::sum));
            return new View(sums, complete);
        }

        /**
         * Returns this view without the calls of one daemon. A target keeps no less than 0, because
         * a report that arrives in between may name more calls than the view has.
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

    /** Makes an empty state. */
    public PeerLoads(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Takes a report; one that was overtaken by a later one of the same start is left out. */
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

    /** Returns the calls as told now. */
    public synchronized View view() {
        long now = ticker.nanos();
        if (stale || now - viewAt >= VIEW_LIFE.toNanos()) {
            view = compute(now);
            viewAt = now;
            stale = false;
        }
        return view;
    }

    /** Returns the calls of the daemons that tell their own calls, as told now. */
    public synchronized View own() {
        return sum(ticker.nanos(), List.of(Scope.OWN));
    }

    /** Returns the last calls that a daemon has told of itself, if it is not silent. */
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
                // Whoever follows a silent leader does not know yet what it knew.
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
