package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.godwithoist.core.id.FailureDomainId;

/**
 * Chooses the target of a request.
 *
 * <p>A request with a prompt goes to the engine that its prompt prefix maps to by rendezvous
 * hashing, so that the prefix is processed once and a newly started daemon finds it without any
 * state. An engine that carries well over the mean load of its service, or responds slowly, is
 * passed over, and the request goes to the next engine in the order of the same key. An engine that
 * does not have the prefix cached imports it from one that has. A request without a prompt goes to
 * the target with the lowest expected response time.
 */
public final class Placement {
    /**
     * An engine is slow when requests wait for more than this multiple of the service's median
     * wait.
     */
    private static final double SLOW_WAIT_FACTOR = 3;

    /**
     * Wait permitted beyond the multiple, in milliseconds. An engine processes a long prompt in
     * about 200 ms.
     */
    private static final double SLOW_WAIT_MARGIN_MS = 300;

    /** Additional response time of a target in another failure domain, in milliseconds. */
    private static final double CROSS_DOMAIN_LATENCY_MS = 3;

    /** Assumed response time while no target has responded yet, in milliseconds. */
    private static final double DEFAULT_LATENCY_MS = 20;

    private final FailureDomainId localDomain;
    private final Supplier<ColdLimit> coldLimit;
    private final PeerLoads peers;
    private final RandomGenerator random;

    /**
     * Creates a placement.
     *
     * @param localDomain failure domain of this daemon
     * @param coldLimit permitted excess of the fleet over a service's cold rate
     * @param peers requests of the other daemons
     * @param random breaks ties, so that daemons with the same view do not choose the same target
     */
    public Placement(
            FailureDomainId localDomain,
            Supplier<ColdLimit> coldLimit,
            PeerLoads peers,
            RandomGenerator random) {
        this.localDomain = localDomain;
        this.coldLimit = coldLimit;
        this.peers = peers;
        this.random = random;
    }

    /**
     * The chosen target.
     *
     * @param target the target; a request was counted there
     * @param cachingEngine engine that probably has the prompt prefix cached while the target does
     *     not; empty if there is none or the request has no prompt
     * @param reason why the target was chosen
     */
    public record Decision(Target target, Optional<Target> cachingEngine, Reason reason) {}

    /**
     * Why a target was chosen, for the log.
     *
     * @param load estimated requests at the target before this one
     * @param bound load from which targets were passed over; infinite for requests without a prompt
     * @param rankedFirst whether the target ranked first, by its hash weight or its expected
     *     response time
     * @param peersComplete whether the reports of all other daemons were available
     * @param paused targets left out because they have asked this daemon to pause
     * @param limited targets left out because their rate limit permits no request of this daemon
     * @param leaving targets left out because they have announced that they are leaving
     */
    public record Reason(
            double load,
            double bound,
            boolean rankedFirst,
            boolean peersComplete,
            int paused,
            int limited,
            int leaving) {}

    /**
     * Chooses a target and counts the request there. The caller must end the request with {@link
     * Target#end}.
     *
     * @param targets targets of the service
     * @return the target; empty if no target may get the request now
     */
    public Optional<Decision> place(PlacementRequest request, List<Target> targets) {
        Eligibility eligibility = Eligibility.of(request, targets);
        PeerLoads.View peerView = peers.view();
        List<Candidate> candidates =
                request.prefix().isPresent()
                        ? rankByPrefix(
                                request.prefix().get().key(),
                                eligibility.targets(),
                                targets,
                                peerView)
                        : rankByLatency(eligibility.targets(), peerView);
        Optional<Candidate> healthy = tryCandidates(request, candidates, false);
        Optional<Candidate> chosen =
                healthy.isPresent() ? healthy : tryCandidates(request, candidates, true);
        return chosen.map(
                c ->
                        new Decision(
                                c.target(),
                                cachingEngine(request, c.target(), targets),
                                reason(c, candidates, eligibility, peerView)));
    }

    private static Reason reason(
            Candidate chosen,
            List<Candidate> candidates,
            Eligibility eligibility,
            PeerLoads.View peerView) {
        boolean rankedFirst = true;
        for (Candidate c : candidates) {
            rankedFirst &= c.rank() <= chosen.rank();
        }
        return new Reason(
                chosen.load(),
                chosen.bound(),
                rankedFirst,
                peerView.complete(),
                eligibility.paused(),
                eligibility.limited(),
                eligibility.leaving());
    }

    /**
     * Returns the engine from which the chosen one can import the prompt prefix: of the engines
     * known to have it cached, the one that used it last. If none is known, it is the engine that
     * the prefix maps to; an engine that was listed a short time ago has cached few prefixes and is
     * not considered.
     */
    private static Optional<Target> cachingEngine(
            PlacementRequest request, Target chosen, List<Target> targets) {
        if (request.prefix().isEmpty()) {
            return Optional.empty();
        }
        PrefixKey key = request.prefix().get().key();
        if (chosen.hasCachedPrefix(key)) {
            return Optional.empty();
        }
        List<Target> others =
                targets.stream()
                        .filter(t -> t != chosen && t.health() != HealthState.RESTING)
                        .toList();
        Optional<Target> lastUser = mostRecentUser(key, others);
        return lastUser.isPresent() ? lastUser : preferredEngine(key, chosen, others);
    }

    /** Returns the engine that used the prefix last, of those known to have it cached. */
    private static Optional<Target> mostRecentUser(PrefixKey key, List<Target> engines) {
        Optional<Target> last = Optional.empty();
        long lastUse = 0;
        for (Target t : engines) {
            Optional<Long> use = t.lastUse(key);
            if (use.isPresent() && (last.isEmpty() || use.get() - lastUse > 0)) {
                last = Optional.of(t);
                lastUse = use.get();
            }
        }
        return last;
    }

    /** Returns the engine that the prefix maps to, if it is not the chosen one. */
    private static Optional<Target> preferredEngine(
            PrefixKey key, Target chosen, List<Target> others) {
        return others.stream()
                .filter(Target::prefixCacheFilled)
                .max((a, b) -> Long.compare(rendezvousWeight(key, a), rendezvousWeight(key, b)))
                .filter(
                        t ->
                                !chosen.prefixCacheFilled()
                                        || rendezvousWeight(key, t)
                                                > rendezvousWeight(key, chosen));
    }

    /** Returns the weight; the factor spreads the 32-bit hash of the id over 64 bits. */
    private static long rendezvousWeight(PrefixKey key, Target target) {
        return key.weight(target.id().value().hashCode() * 0x9e3779b97f4a7c15L);
    }

    /**
     * Returns the time until the first target of the service accepts requests of this daemon again,
     * if all of them have asked it to pause or have rate limits that permit none now. Sending the
     * request to a target that pauses would only use up the retry budget, and waiting for one would
     * hold the caller in vain.
     *
     * @param targets targets of the service
     * @return empty if the service has no target, or one that accepts requests now
     */
    public Optional<Duration> shortestWait(PlacementRequest request, List<Target> targets) {
        return targets.stream()
                .filter(request::permits)
                .map(t -> t.remainingWait(request.share()))
                .min(Comparator.naturalOrder())
                .filter(wait -> !wait.isZero());
    }

    private Optional<Candidate> tryCandidates(
            PlacementRequest request, List<Candidate> candidates, boolean allowEjected) {
        CandidateOrder order = new CandidateOrder(candidates);
        while (!order.isEmpty()) {
            Candidate c = order.next();
            int perSecond = coldLimit.get().share(request.service(), c.target(), request.share());
            if (c.target().tryBegin(perSecond, request.share(), allowEjected)) {
                return Optional.of(c);
            }
        }
        return Optional.empty();
    }

    private static List<Candidate> rankByPrefix(
            PrefixKey key, List<Target> eligible, List<Target> listed, PeerLoads.View peerView) {
        LoadEstimate estimate = LoadEstimate.of(eligible, peerView);
        double[] loads = estimate.loads(eligible);
        double[] waits = recentWaits(eligible);
        double slowWaitMs = slowWaitMs(waits);
        double mean = LoadEstimate.mean(loads);
        double listedMean =
                eligible.size() == listed.size() ? mean : LoadEstimate.mean(estimate.loads(listed));
        double bound = SkewBound.of(peerView).loadBound(mean, listedMean);
        List<Candidate> candidates = new ArrayList<>(eligible.size());
        for (int i = 0; i < loads.length; i++) {
            Target t = eligible.get(i);
            boolean slow = waits[i] > slowWaitMs;
            candidates.add(new Candidate(t, loads[i], bound, slow, rendezvousWeight(key, t)));
        }
        return candidates;
    }

    private static double[] recentWaits(List<Target> targets) {
        double[] waits = new double[targets.size()];
        for (int i = 0; i < waits.length; i++) {
            waits[i] = targets.get(i).recentWaitMs();
        }
        return waits;
    }

    /** Returns the wait in milliseconds beyond which a target is slow compared with its service. */
    private static double slowWaitMs(double[] waits) {
        double[] sorted = waits.clone();
        Arrays.sort(sorted);
        double median = sorted.length == 0 ? 0 : sorted[sorted.length / 2];
        return SLOW_WAIT_FACTOR * median + SLOW_WAIT_MARGIN_MS;
    }

    private List<Candidate> rankByLatency(List<Target> eligible, PeerLoads.View peerView) {
        LoadEstimate estimate = LoadEstimate.of(eligible, peerView);
        double lowestLatencyMs = lowestLatencyMs(eligible);
        List<Candidate> candidates = new ArrayList<>(eligible.size());
        for (Target t : eligible) {
            double load = estimate.load(t);
            double rank = -expectedMs(t, load, lowestLatencyMs);
            candidates.add(new Candidate(t, load, Double.POSITIVE_INFINITY, false, rank));
        }
        return candidates;
    }

    /**
     * Returns the lowest average latency in milliseconds. It stands in for latencies that are
     * unknown or old: a target that counted as slower than the others would get no request, and so
     * its latency would never be known.
     */
    private static double lowestLatencyMs(List<Target> targets) {
        double lowest = Double.POSITIVE_INFINITY;
        for (Target t : targets) {
            lowest = Math.min(lowest, t.averageLatencyMs());
        }
        return Double.isFinite(lowest) ? lowest : DEFAULT_LATENCY_MS;
    }

    private double expectedMs(Target target, double load, double lowestLatencyMs) {
        double latency = target.expectedLatencyMs(lowestLatencyMs);
        int slots = target.entry().slots();
        double queued = Math.max(0, load + 1 - slots);
        double jitter = 1 + random.nextDouble();
        double domainPenalty =
                target.entry().domain().equals(localDomain) ? 0 : CROSS_DOMAIN_LATENCY_MS;
        double utilization = load / slots;
        return latency * (jitter + utilization + queued / slots) + domainPenalty;
    }
}
