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
 * Builds the load reports for other daemons: this daemon's own requests and, on a leader, the sums
 * of the reports received from others. Thread-safe.
 */
final class LoadReportBuilder {
    private record ReceivedPrefix(CachedPrefix prefix, PeerLoads.Scope from, long receivedAt) {}

    private final TargetDirectory directory;
    private final PeerLoads loads;
    private final Ticker ticker;
    private final ArrayDeque<ReceivedPrefix> receivedPrefixes = new ArrayDeque<>();

    LoadReportBuilder(TargetDirectory directory, PeerLoads loads, Ticker ticker) {
        this.directory = directory;
        this.loads = loads;
        this.ticker = ticker;
    }

    /** Records the prompt prefixes that engines have cached for other daemons. */
    synchronized void recordCachedPrefixes(PeerLoads.Report report) {
        directory.recordPeerCachedPrefixes(report.cachedPrefixes());
        long now = ticker.nanos();
        removeExpired(now);
        report.cachedPrefixes()
                .forEach(p -> receivedPrefixes.addLast(new ReceivedPrefix(p, report.scope(), now)));
    }

    private void removeExpired(long now) {
        while (!receivedPrefixes.isEmpty()
                && now - receivedPrefixes.peekFirst().receivedAt()
                        >= PeerLoads.MAX_REPORT_AGE.toNanos()) {
            receivedPrefixes.pollFirst();
        }
    }

    /**
     * Builds the report for a daemon.
     *
     * @param scope whose requests the report contains
     * @param to receiving daemon; its own requests are left out of a report of the whole fleet
     */
    PeerLoads.Report build(PeerLoads.Scope scope, HostId to, long incarnation, long sequence) {
        PeerLoads.Report own = directory.report(incarnation, sequence);
        return switch (scope) {
            case OWN -> own;
            case DOMAIN ->
                    own.withSum(
                            scope,
                            loads.ownView().with(own.requests()),
                            mergePrefixes(own, Set.of(PeerLoads.Scope.OWN)));
            case FLEET ->
                    own.withSum(
                            scope,
                            loads.view().with(own.requests()).without(loads.ownRequests(to)),
                            mergePrefixes(
                                    own, Set.of(PeerLoads.Scope.OWN, PeerLoads.Scope.DOMAIN)));
        };
    }

    /** Returns the cached prefixes recorded by this daemon and by others, newest last. */
    private synchronized List<CachedPrefix> mergePrefixes(
            PeerLoads.Report own, Set<PeerLoads.Scope> scopes) {
        removeExpired(ticker.nanos());
        Set<CachedPrefix> prefixes = new LinkedHashSet<>();
        receivedPrefixes.stream()
                .filter(p -> scopes.contains(p.from()))
                .forEach(p -> prefixes.add(p.prefix()));
        prefixes.addAll(own.cachedPrefixes());
        return new ArrayList<>(prefixes);
    }
}
