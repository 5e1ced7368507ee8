package org.godwithoist.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.PeerLoads;

/**
 * Demand that the other daemons report. A report expires like a load report, so that a daemon or a
 * workspace that has gone keeps no share. Thread-safe.
 */
final class PeerDemand {
    /**
     * Demand of several daemons for one service.
     *
     * @param daemons number of these daemons
     * @param byWorkspace sum of their demand
     */
    record View(int daemons, Map<WorkspaceKey, Demand> byWorkspace) {
        /** No other daemon has reported. */
        static final View EMPTY = new View(0, Map.of());

        View plus(int moreDaemons, Map<WorkspaceKey, Demand> more) {
            Map<WorkspaceKey, Demand> sum = new HashMap<>(byWorkspace);
            more.forEach((key, d) -> sum.merge(key, d, Demand::plus));
            return new View(daemons + moreDaemons, sum);
        }

        View minus(View fewer) {
            Map<WorkspaceKey, Demand> rest = new HashMap<>(byWorkspace);
            fewer.byWorkspace.forEach((key, d) -> rest.computeIfPresent(key, (k, a) -> a.minus(d)));
            return new View(Math.max(0, daemons - fewer.daemons), rest);
        }
    }

    private record Source(HostId host, ServiceId service) {}

    private record Received(DemandReport report, long at) {}

    private final Ticker ticker;
    private final Map<Source, Received> reports = new HashMap<>();

    PeerDemand(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Records a report, unless a later one of the same incarnation was received. */
    synchronized void receive(HostId host, DemandReport report) {
        Source source = new Source(host, report.service());
        Received last = reports.get(source);
        boolean outdated =
                last != null
                        && last.report().incarnation() == report.incarnation()
                        && last.report().sequence() >= report.sequence();
        if (!outdated) {
            reports.put(source, new Received(report, ticker.nanos()));
        }
    }

    /** Returns the demand of all other daemons that is known. */
    synchronized View view(ServiceId service) {
        removeExpired();
        Optional<DemandReport> fleet =
                reports.entrySet().stream()
                        .filter(e -> e.getKey().service().equals(service))
                        .filter(e -> e.getValue().report().scope() == PeerLoads.Scope.FLEET)
                        .min(Map.Entry.comparingByKey((a, b) -> a.host().compareTo(b.host())))
                        .map(e -> e.getValue().report());
        return fleet.map(r -> new View(r.daemons(), r.byWorkspace()))
                .orElseGet(() -> sum(service, true));
    }

    /** Returns the demand of the daemons that report only their own. */
    synchronized View ownView(ServiceId service) {
        removeExpired();
        return sum(service, false);
    }

    /** Returns what one daemon has reported about itself; empty if nothing is known. */
    synchronized View ownView(ServiceId service, HostId host) {
        removeExpired();
        Received received = reports.get(new Source(host, service));
        return received == null || received.report().scope() != PeerLoads.Scope.OWN
                ? View.EMPTY
                : View.EMPTY.plus(1, received.report().byWorkspace());
    }

    private View sum(ServiceId service, boolean withDomains) {
        View sum = View.EMPTY;
        for (Received r : reports.values()) {
            PeerLoads.Scope scope = r.report().scope();
            boolean inScope =
                    scope == PeerLoads.Scope.OWN
                            || (withDomains && scope == PeerLoads.Scope.DOMAIN);
            if (inScope && r.report().service().equals(service)) {
                sum = sum.plus(r.report().daemons(), r.report().byWorkspace());
            }
        }
        return sum;
    }

    private void removeExpired() {
        long now = ticker.nanos();
        reports.values().removeIf(r -> now - r.at() >= PeerLoads.MAX_REPORT_AGE.toNanos());
    }
}
