package org.godwithoist.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.PartsRead;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.TargetDirectory;

/**
 * Builds the load reports for other daemons: this daemon's own requests and, on a leader, the sums
 * of the reports received from others. Thread-safe.
 */
final class LoadReportBuilder {
    private record ReceivedRead(PartsRead read, PeerLoads.Scope from, long receivedAt) {}

    private final TargetDirectory directory;
    private final PeerLoads loads;
    private final Ticker ticker;
    private final ArrayDeque<ReceivedRead> receivedReads = new ArrayDeque<>();

    LoadReportBuilder(TargetDirectory directory, PeerLoads loads, Ticker ticker) {
        this.directory = directory;
        this.loads = loads;
        this.ticker = ticker;
    }

    /** Records the prompt prefixes that engines have cached for other daemons. */
    synchronized void recordCachedPrefixes(PeerLoads.Report report) {
        directory.readForPeer(report.reads());
        long now = ticker.nanos();
        removeExpired(now);
        report.reads()
                .forEach(r -> receivedReads.addLast(new ReceivedRead(r, report.scope(), now)));
    }

    private void removeExpired(long now) {
        while (!receivedReads.isEmpty()
                && now - receivedReads.peekFirst().receivedAt() >= PeerLoads.FRESH.toNanos()) {
            receivedReads.pollFirst();
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
                            loads.own().with(own.calls()),
                            mergeReads(own, Set.of(PeerLoads.Scope.OWN)));
            case FLEET ->
                    own.withSum(
                            scope,
                            loads.view().with(own.calls()).without(loads.ownCalls(to)),
                            mergeReads(own, Set.of(PeerLoads.Scope.OWN, PeerLoads.Scope.DOMAIN)));
        };
    }

    /** Returns the cached prefixes recorded by this daemon and by others, newest last. */
    private synchronized List<PartsRead> mergeReads(
            PeerLoads.Report own, Set<PeerLoads.Scope> scopes) {
        removeExpired(ticker.nanos());
        Set<PartsRead> reads = new LinkedHashSet<>();
        receivedReads.stream()
                .filter(h -> scopes.contains(h.from()))
                .forEach(h -> reads.add(h.read()));
        reads.addAll(own.reads());
        return new ArrayList<>(reads);
    }
}
