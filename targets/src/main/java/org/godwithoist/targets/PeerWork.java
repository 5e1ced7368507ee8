package org.godwithoist.targets;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;

/**
 * Outstanding work of the other daemons at each target, as they report several times a second. The
 * report of a daemon that stops sending is dropped after the same time as its load report.
 * Thread-safe.
 */
final class PeerWork {
    /**
     * Work of the other daemons at one moment.
     *
     * @param work sum for each target; a target without work is absent
     * @param complete whether every daemon that is expected to report has done so
     */
    record View(Map<TargetKey, TokenWork> work, boolean complete) {
        /** No daemon has reported. */
        static final View EMPTY = new View(Map.of(), false);

        TokenWork work(TargetKey target) {
            return work.getOrDefault(target, TokenWork.NONE);
        }

        /** Returns this view with the work of one more daemon. */
        View with(Map<TargetKey, TokenWork> more) {
            Map<TargetKey, TokenWork> sums = new HashMap<>(work);
            more.forEach((target, w) -> sums.merge(target, w, TokenWork::plus));
            return new View(sums, complete);
        }

        /** Returns this view without the work of one daemon; no sum goes below 0. */
        View without(Map<TargetKey, TokenWork> fewer) {
            Map<TargetKey, TokenWork> remaining = new HashMap<>(work);
            fewer.forEach(
                    (target, w) -> remaining.computeIfPresent(target, (t, all) -> all.minus(w)));
            return new View(remaining, complete);
        }
    }

    private final Ticker ticker;
    private final PeerReports<WorkReport> reports =
            new PeerReports<>(PeerLoads.MAX_REPORT_AGE, PeerLoads.PEER_EXPIRY);
    private View view = View.EMPTY;
    private long viewComputedAt;
    private boolean viewOutdated = true;

    PeerWork(Ticker ticker) {
        this.ticker = ticker;
    }

    synchronized void receive(HostId peer, WorkReport report) {
        PeerReports.Header header =
                new PeerReports.Header(
                        report.incarnation(), report.sequence(), report.scope(), report.complete());
        viewOutdated |= reports.receive(peer, header, report, ticker.nanos());
    }

    synchronized View view() {
        long now = ticker.nanos();
        if (viewOutdated || now - viewComputedAt >= PeerLoads.VIEW_TTL.toNanos()) {
            view = sum(reports.select(now));
            viewComputedAt = now;
            viewOutdated = false;
        }
        return view;
    }

    /** Returns the work of the daemons that report about themselves only. */
    synchronized View ownView() {
        return sum(reports.select(ticker.nanos(), Set.of(PeerLoads.Scope.OWN)));
    }

    /** Returns the work that a daemon has reported about itself; empty if that is too old. */
    synchronized Map<TargetKey, TokenWork> ownWork(HostId peer) {
        return reports.own(peer, ticker.nanos()).map(WorkReport::work).orElse(Map.of());
    }

    private static View sum(PeerReports.Selection<WorkReport> selection) {
        Map<TargetKey, TokenWork> sums = new HashMap<>();
        for (WorkReport report : selection.reports()) {
            report.work().forEach((target, w) -> sums.merge(target, w, TokenWork::plus));
        }
        return new View(sums, selection.complete());
    }
}
