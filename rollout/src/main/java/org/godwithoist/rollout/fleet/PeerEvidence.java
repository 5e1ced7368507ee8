package org.godwithoist.rollout.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.rollout.Counts;
import org.godwithoist.rollout.Evidence;
import org.godwithoist.rollout.LatencyHistogram;
import org.godwithoist.rollout.Release;

/**
 * Evidence of the other daemons for one order. A daemon's counts only grow, and those of a daemon
 * that has ended stay, as its requests were sent. Sums are counted along several paths: of the
 * daemons themselves, and as sums of leaders, of whom two may exist or a new one may not know what
 * the last one did. Each is a lower bound of the same counts, so the largest one is used.
 * Thread-safe.
 */
public final class PeerEvidence {
    /**
     * Time without a report after which the requests of a daemon count as over, because its
     * connections have ended with it. Several reports in a row must be lost for that.
     */
    static final Duration SILENT_AFTER = Duration.ofSeconds(2);

    /** One process of a daemon. */
    private record Source(FailureDomainId domain, HostId host, long incarnation) {}

    private record Received(Evidence evidence, long sequence, long receivedAt) {}

    private final Ticker ticker;
    private final Map<Source, Received> own = new HashMap<>();
    private final Map<FailureDomainId, Evidence> domains = new HashMap<>();
    private final Map<HostId, Long> heardAt = new HashMap<>();
    private Evidence fleet = Evidence.NONE;

    /** Creates an instance without evidence. */
    public PeerEvidence(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Records a report of another daemon; one that is older than the last is ignored. */
    public synchronized void receive(HostId sender, FailureDomainId domain, RolloutReport report) {
        heardAt.put(sender, ticker.nanos());
        switch (report.scope()) {
            case OWN -> receiveOwn(new Source(domain, sender, report.incarnation()), report);
            case DOMAIN -> domains.merge(domain, report.evidence(), Evidence::largest);
            case FLEET -> fleet = fleet.largest(report.evidence());
        }
    }

    /**
     * Returns whether most of the daemons that have reported do so still. Without them, the
     * evidence and the requests in flight are only those of a part of the fleet.
     */
    public synchronized boolean isInContact() {
        long now = ticker.nanos();
        long silent =
                heardAt.values().stream().filter(at -> now - at >= SILENT_AFTER.toNanos()).count();
        return 2 * silent <= heardAt.size();
    }

    private void receiveOwn(Source source, RolloutReport report) {
        Received last = own.get(source);
        if (last == null || last.sequence() < report.sequence()) {
            own.put(source, new Received(report.evidence(), report.sequence(), ticker.nanos()));
        }
    }

    /** Returns the evidence of all other daemons. */
    public synchronized Evidence others() {
        return fleet.largest(sumOfDomains(s -> true));
    }

    /**
     * Returns the evidence of all other daemons except the present process of one. What its earlier
     * processes have counted is included, because it does not know it.
     */
    public synchronized Evidence othersExcept(HostId host) {
        long present =
                own.keySet().stream()
                        .filter(s -> s.host().equals(host))
                        .mapToLong(Source::incarnation)
                        .max()
                        .orElse(0);
        return sumOfDomains(s -> !s.host().equals(host) || s.incarnation() != present);
    }

    /** Returns the evidence of the other daemons of a failure domain, as they reported it. */
    public synchronized Evidence ofDomain(FailureDomainId domain) {
        return sum(s -> s.domain().equals(domain));
    }

    /** Returns the sum over the failure domains, of daemons that fulfil a condition. */
    private Evidence sumOfDomains(Predicate<Source> condition) {
        Evidence sum = Evidence.NONE;
        Map<FailureDomainId, Evidence> all = new HashMap<>(domains);
        own.keySet().forEach(s -> all.putIfAbsent(s.domain(), Evidence.NONE));
        for (Map.Entry<FailureDomainId, Evidence> e : all.entrySet()) {
            Evidence reported = sum(s -> s.domain().equals(e.getKey()) && condition.test(s));
            sum = sum.plus(e.getValue().largest(reported));
        }
        return sum;
    }

    private Evidence sum(Predicate<Source> condition) {
        long now = ticker.nanos();
        Evidence sum = Evidence.NONE;
        for (Map.Entry<Source, Received> e : own.entrySet()) {
            if (condition.test(e.getKey())) {
                Evidence counted = e.getValue().evidence();
                boolean silent = now - e.getValue().receivedAt() >= SILENT_AFTER.toNanos();
                sum = sum.plus(silent ? over(counted) : counted);
            }
        }
        return sum;
    }

    /** Returns evidence in which all requests are over. */
    private static Evidence over(Evidence evidence) {
        Evidence result = evidence;
        for (RouteId route : evidence.routes()) {
            for (Release release : Release.values()) {
                long open = evidence.counts(route, release).inFlight();
                Counts ends = new Counts(0, 0, 0, open, open, LatencyHistogram.EMPTY);
                result = result.plus(Evidence.of(route, release, ends));
            }
        }
        return result;
    }
}
