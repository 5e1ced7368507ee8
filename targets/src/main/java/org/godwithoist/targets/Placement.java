package org.godwithoist.targets;

import java.util.ArrayList;
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
    private static final double SLOW_MULTIPLE = 3;

    /**
     * Wait beyond the multiple, in milliseconds: an engine processes a long prompt in about 200 ms.
     */
    private static final double SLOW_SLACK_MS = 300;

    /** Additional response time of a target in another failure domain, in milliseconds. */
    private static final double OTHER_DOMAIN_MS = 3;

    /** Assumed response time of a target that has not responded yet, in milliseconds. */
    private static final double UNKNOWN_LATENCY_MS = 20;

    private final FailureDomainId here;
    private final Supplier<ColdLimit> coldLimit;
    private final PeerLoads peers;
    private final RandomGenerator random;

    /**
     * Creates a placement.
     *
     * @param here failure domain of this daemon
     * @param coldLimit permitted excess of the fleet over a service's cold rate
     * @param peers requests of the other daemons
     * @param random breaks ties, so that daemons with the same view do not choose the same target
     */
    public Placement(
            FailureDomainId here,
            Supplier<ColdLimit> coldLimit,
            PeerLoads peers,
            RandomGenerator random) {
        this.here = here;
        this.coldLimit = coldLimit;
        this.peers = peers;
        this.random = random;
    }

    /**
     * The chosen target.
     *
     * @param target the target; a request was counted there
     * @param holder engine that probably has the prompt prefix cached while the target does not;
     *     empty if there is none or the request has no prompt
     * @param grounds why the target was chosen
     */
    public record Placed(Target target, Optional<Target> holder, Grounds grounds) {}

    /**
     * Why a target was chosen, for the log.
     *
     * @param load estimated requests at the target before this one
     * @param bound load from which targets were passed over; infinite for requests without a prompt
     * @param first whether the target ranked first, by its hash weight or its expected response
     *     time
     * @param peersTold whether the reports of all other daemons were available
     */
    public record Grounds(double load, double bound, boolean first, boolean peersTold) {}

    /**
     * Chooses a target and counts the request there. The caller must end the request with {@link
     * Target#end}.
     *
     * @param targets targets of the service
     * @return the target; empty if no target may get the request now
     */
    public Optional<Placed> begin(PlacementRequest request, List<Target> targets) {
        List<Target> usable = usable(request, targets);
        PeerLoads.View told = peers.view();
        List<Candidate> order =
                request.prompt().isPresent()
                        ? byPrompt(request.prompt().get().key(), usable, targets, told)
                        : byLatency(usable, told);
        Optional<Candidate> sound = firstThatBegins(request, order, false);
        Optional<Candidate> chosen =
                sound.isPresent() ? sound : firstThatBegins(request, order, true);
        return chosen.map(
                c ->
                        new Placed(
                                c.target(),
                                holder(request, c.target(), targets),
                                grounds(c, order, told)));
    }

    private static Grounds grounds(Candidate chosen, List<Candidate> order, PeerLoads.View told) {
        boolean first = order.stream().allMatch(c -> c.rank() <= chosen.rank());
        return new Grounds(chosen.load(), chosen.bound(), first, told.complete());
    }

    /**
     * Returns the engine from which the chosen one can import the prompt prefix: of the engines
     * known to have it cached, the one that used it last. If none is known, it is the engine that
     * the prefix maps to; an engine that was listed a short time ago has cached few prefixes and is
     * not considered.
     */
    private static Optional<Target> holder(
            PlacementRequest request, Target chosen, List<Target> targets) {
        if (request.prompt().isEmpty()) {
            return Optional.empty();
        }
        PromptKey key = request.prompt().get().key();
        if (chosen.hasParts(key)) {
            return Optional.empty();
        }
        List<Target> others =
                targets.stream()
                        .filter(t -> t != chosen && t.health() != HealthState.RESTING)
                        .toList();
        Optional<Target> known = lastUser(key, others);
        return known.isPresent() ? known : mapped(key, chosen, others);
    }

    /** Returns the engine that used the prefix last, of those known to have it cached. */
    private static Optional<Target> lastUser(PromptKey key, List<Target> engines) {
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
    private static Optional<Target> mapped(PromptKey key, Target chosen, List<Target> others) {
        return others.stream()
                .filter(Target::settled)
                .max((a, b) -> Long.compare(weight(key, a), weight(key, b)))
                .filter(t -> !chosen.settled() || weight(key, t) > weight(key, chosen));
    }

    private static long weight(PromptKey key, Target target) {
        return key.weight(target.id().value().hashCode() * 0x9e3779b97f4a7c15L);
    }

    private static List<Target> usable(PlacementRequest request, List<Target> targets) {
        List<Target> usable = new ArrayList<>(targets.size());
        for (Target t : targets) {
            boolean out = request.outOfService().contains(t.entry().domain());
            if (!out && !t.entry().leaving() && !request.tried().contains(t.id())) {
                usable.add(t);
            }
        }
        return usable;
    }

    private Optional<Candidate> firstThatBegins(
            PlacementRequest request, List<Candidate> order, boolean evenIfResting) {
        for (Candidate c : order) {
            int perSecond = coldLimit.get().share(request.service(), c.target(), request.share());
            if (c.target().tryBegin(perSecond, evenIfResting)) {
                return Optional.of(c);
            }
        }
        return Optional.empty();
    }

    /**
     * A target and the values that decide its position, sampled once.
     *
     * @param rank candidates with a higher rank come first
     */
    private record Candidate(Target target, double load, double bound, boolean slow, double rank) {
        boolean passedOver() {
            return slow || load >= bound;
        }
    }

    private static List<Candidate> byPrompt(
            PromptKey key, List<Target> usable, List<Target> listed, PeerLoads.View told) {
        LoadEstimate estimate = LoadEstimate.of(usable, told);
        double slowMs = slowMs(usable);
        double bound = SkewBound.of(told).load(estimate.mean(usable), estimate.mean(listed));
        List<Candidate> candidates = new ArrayList<>(usable.size());
        for (Target t : usable) {
            boolean slow = t.recentWaitMs() > slowMs;
            candidates.add(new Candidate(t, estimate.load(t), bound, slow, weight(key, t)));
        }
        candidates.sort((a, b) -> Double.compare(b.rank(), a.rank()));
        return inOrder(candidates);
    }

    /**
     * Orders candidates: first those that are not passed over, by rank, then the others, the least
     * loaded one first.
     *
     * @param ranked candidates by descending rank
     */
    private static List<Candidate> inOrder(List<Candidate> ranked) {
        List<Candidate> order = new ArrayList<>(ranked.size());
        ranked.stream().filter(c -> !c.passedOver()).forEach(order::add);
        ranked.stream()
                .filter(Candidate::passedOver)
                .sorted((a, b) -> Double.compare(a.load(), b.load()))
                .forEach(order::add);
        return order;
    }

    /** Returns the wait in milliseconds beyond which a target is slow compared with its service. */
    private static double slowMs(List<Target> targets) {
        double[] waits = targets.stream().mapToDouble(Target::recentWaitMs).sorted().toArray();
        double median = waits.length == 0 ? 0 : waits[waits.length / 2];
        return SLOW_MULTIPLE * median + SLOW_SLACK_MS;
    }

    private List<Candidate> byLatency(List<Target> usable, PeerLoads.View told) {
        LoadEstimate estimate = LoadEstimate.of(usable, told);
        List<Candidate> candidates = new ArrayList<>(usable.size());
        for (Target t : usable) {
            double load = estimate.load(t);
            double rank = -expectedMs(t, load);
            candidates.add(new Candidate(t, load, Double.POSITIVE_INFINITY, false, rank));
        }
        candidates.sort((a, b) -> Double.compare(b.rank(), a.rank()));
        return candidates;
    }

    private double expectedMs(Target target, double load) {
        double known = target.latencyMs();
        double latency = known == 0 ? UNKNOWN_LATENCY_MS : known;
        int slots = target.entry().slots();
        double queued = Math.max(0, load + 1 - slots);
        double spread = 1 + random.nextDouble();
        double distance = target.entry().domain().equals(here) ? 0 : OTHER_DOMAIN_MS;
        double busy = load / slots;
        return latency * (spread + busy + queued / slots) + distance;
    }
}
