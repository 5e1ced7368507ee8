package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.core.id.HostId;

/**
 * The last report of each other daemon, and which of them count together. The report of a daemon
 * that stops sending is dropped after a short time. Not thread-safe.
 *
 * @param <R> type of the reports
 */
final class PeerReports<R> {
    private final Duration maxAge;
    private final Duration expiry;
    private final Map<HostId, Received<R>> byPeer = new HashMap<>();

    /**
     * Identifies a report and says whose requests it covers.
     *
     * @param complete whether the reports of all daemons in the scope are included
     */
    record Header(long incarnation, long sequence, PeerLoads.Scope scope, boolean complete) {}

    /**
     * Reports that count together.
     *
     * @param complete whether every daemon that is expected to report has done so
     */
    record Selection<R>(List<R> reports, boolean complete) {}

    private record Received<R>(Header header, R report, long receivedAt) {}

    /**
     * Creates an instance without reports.
     *
     * @param maxAge age from which a report is no longer used
     * @param expiry time without reports after which a daemon is no longer expected to report
     */
    PeerReports(Duration maxAge, Duration expiry) {
        this.maxAge = maxAge;
        this.expiry = expiry;
    }

    /** Records a report; returns false if a newer one of the same incarnation is known. */
    boolean receive(HostId peer, Header header, R report, long now) {
        Received<R> last = byPeer.get(peer);
        if (last != null
                && last.header().incarnation() == header.incarnation()
                && last.header().sequence() >= header.sequence()) {
            return false;
        }
        byPeer.put(peer, new Received<>(header, report, now));
        return true;
    }

    /** Returns the fresh report of a daemon about itself only. */
    Optional<R> own(HostId peer, long now) {
        Received<R> received = byPeer.get(peer);
        boolean usable =
                received != null
                        && received.header().scope() == PeerLoads.Scope.OWN
                        && isFresh(received, now);
        return usable ? Optional.of(received.report()) : Optional.empty();
    }

    /** Returns the sum of the whole fleet if a leader sends one, else the reports of the others. */
    Selection<R> select(long now) {
        byPeer.values().removeIf(r -> now - r.receivedAt() >= expiry.toNanos());
        return byPeer.entrySet().stream()
                .filter(e -> e.getValue().header().scope() == PeerLoads.Scope.FLEET)
                .filter(e -> isFresh(e.getValue(), now))
                .min(Map.Entry.comparingByKey())
                .map(Map.Entry::getValue)
                .map(r -> new Selection<>(List.of(r.report()), r.header().complete()))
                .orElseGet(() -> select(now, Set.of(PeerLoads.Scope.OWN, PeerLoads.Scope.DOMAIN)));
    }

    /** Returns the fresh reports with one of the scopes. */
    Selection<R> select(long now, Set<PeerLoads.Scope> scopes) {
        List<R> reports = new ArrayList<>();
        boolean complete = !byPeer.isEmpty();
        for (Received<R> received : byPeer.values()) {
            PeerLoads.Scope scope = received.header().scope();
            boolean inScope = scopes.contains(scope);
            if (!isFresh(received, now)) {
                // The sum of an unresponsive leader is missing, and its successor has none yet.
                complete &= !inScope && scope != PeerLoads.Scope.FLEET;
            } else if (inScope) {
                complete &= received.header().complete();
                reports.add(received.report());
            }
        }
        return new Selection<>(reports, complete);
    }

    private boolean isFresh(Received<R> received, long now) {
        return now - received.receivedAt() < maxAge.toNanos();
    }
}
