package org.godwithoist.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.CachedPrefix;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.TargetDirectory;

/**
 * Puts together what this daemon tells others: its own calls and, for a leader, the sums of what
 * others have told it. Thread-safe.
 */
final class ReportBook {
    private record Heard(CachedPrefix read, PeerLoads.Scope from, long at) {}

    private final TargetDirectory directory;
    private final PeerLoads loads;
    private final Ticker ticker;
    private final ArrayDeque<Heard> heard = new ArrayDeque<>();

    ReportBook(TargetDirectory directory, PeerLoads loads, Ticker ticker) {
        this.directory = directory;
        this.loads = loads;
        this.ticker = ticker;
    }

    /** Takes note of what engines have read for others. */
    synchronized void read(PeerLoads.Report report) {
        directory.recordPeerCachedPrefixes(report.cachedPrefixes());
        long now = ticker.nanos();
        forget(now);
        report.cachedPrefixes().forEach(r -> heard.addLast(new Heard(r, report.scope(), now)));
    }

    private void forget(long now) {
        while (!heard.isEmpty()
                && now - heard.peekFirst().at() >= PeerLoads.MAX_REPORT_AGE.toNanos()) {
            heard.pollFirst();
        }
    }

    /**
     * Returns what a daemon is told.
     *
     * @param scope whose calls it is told
     * @param to the daemon that is told
     */
    PeerLoads.Report report(PeerLoads.Scope scope, HostId to, long incarnation, long sequence) {
        PeerLoads.Report own = directory.report(incarnation, sequence);
        return switch (scope) {
            case OWN -> own;
            case DOMAIN ->
                    own.withSum(
                            scope,
                            loads.ownView().with(own.requests()),
                            reads(own, Set.of(PeerLoads.Scope.OWN)));
            case FLEET ->
                    own.withSum(
                            scope,
                            loads.view().with(own.requests()).without(loads.ownRequests(to)),
                            reads(own, Set.of(PeerLoads.Scope.OWN, PeerLoads.Scope.DOMAIN)));
        };
    }

    /** Returns the reads of this daemon and those it has heard of, the newest last. */
    private synchronized List<CachedPrefix> reads(
            PeerLoads.Report own, Set<PeerLoads.Scope> scopes) {
        forget(ticker.nanos());
        Set<CachedPrefix> reads = new LinkedHashSet<>();
        heard.stream().filter(h -> scopes.contains(h.from())).forEach(h -> reads.add(h.read()));
        reads.addAll(own.cachedPrefixes());
        return new ArrayList<>(reads);
    }
}
