package org.godwithoist.targets;

import java.time.Duration;
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
 * the target with the lowest expected response time. Where targets report how long work takes,
 * {@link WorkRanking} weighs this against the expected time until the first event.
 */
public final class Placement {
    private static final double PERCENT = 100;

    private final FailureDomainId localDomain;
    private final Supplier<ColdLimit> coldLimit;
    private final PeerLoads peers;
    private final Optional<FleetWork> work;
    private final RandomGenerator random;

    /**
     * Creates a placement that knows the work of this daemon only.
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
        this(localDomain, coldLimit, peers, Optional.empty(), random);
    }

    /**
     * Creates a placement.
     *
     * @param localDomain failure domain of this daemon
     * @param coldLimit permitted excess of the fleet over a service's cold rate
     * @param peers requests of the other daemons
     * @param work work of the other daemons; empty if requests are placed by their counts
     * @param random breaks ties, so that daemons with the same view do not choose the same target
     */
    public Placement(
            FailureDomainId localDomain,
            Supplier<ColdLimit> coldLimit,
            PeerLoads peers,
            Optional<FleetWork> work,
            RandomGenerator random) {
        this.localDomain = localDomain;
        this.coldLimit = coldLimit;
        this.peers = peers;
        this.work = work;
        this.random = random;
    }

    /**
     * The chosen target.
     *
     * @param target the target; a request was counted there
     * @param cachingEngine engine that probably has the prompt prefix cached while the target does
     *     not; empty if there is none or the request has no prompt
     * @param reason why the target was chosen
     * @param work work of the request at the target, to be counted while it runs
     */
    public record Decision(
            Target target, Optional<Target> cachingEngine, Reason reason, RequestWork work) {}

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
     * @param full targets left out because they have no room and would fail if they had to reject
     *     many requests
     * @param leaving targets left out because they have announced that they are leaving
     * @param work what the work of the targets contributed; empty if they report no work times, or
     *     if the first ones in the order could not take the request
     */
    public record Reason(
            double load,
            double bound,
            boolean rankedFirst,
            boolean peersComplete,
            int paused,
            int limited,
            int full,
            int leaving,
            Optional<WorkReason> work) {}

    /**
     * What was known of the work of the chosen target.
     *
     * @param expectedMs expected time until the first event, in milliseconds
     * @param workTimePercent how long work takes on its host, in percent of the usual time
     * @param outstanding work of all daemons at the target before this request
     * @param peersComplete whether the work of all other daemons was known
     */
    public record WorkReason(
            double expectedMs,
            long workTimePercent,
            TokenWork outstanding,
            boolean peersComplete) {}

    /**
     * Chooses a target and counts the request there. The caller must end the request with {@link
     * Target#end}.
     *
     * @param targets targets of the service
     * @return the target; empty if no target may get the request now
     */
    public Optional<Decision> place(PlacementRequest request, List<Target> targets) {
        long now = peers.ticker().nanos();
        PeerLoads.View peerLoads = peers.view();
        Eligibility eligibility = Eligibility.of(request, targets, peerLoads, now);
        RankingInput input =
                new RankingInput(
                        request,
                        eligibility.targets(),
                        targets,
                        peerLoads,
                        work.map(FleetWork::peers).orElse(PeerWork.View.EMPTY),
                        localDomain,
                        random,
                        now);
        Ranking ranking = work.isPresent() ? Ranking.of(targets) : Ranking.BY_COUNT;
        List<Candidate> candidates = ranking.rank(input);
        Optional<Candidate> healthy = tryCandidates(input, candidates, false);
        Optional<Candidate> chosen =
                healthy.isPresent() ? healthy : tryCandidates(input, candidates, true);
        return chosen.map(
                c -> {
                    Optional<Target> cachingEngine =
                            CachedPrompt.cachingEngine(request, c.target(), targets, now);
                    RequestWork added = ranking.work(input, c);
                    return new Decision(
                            c.target(),
                            cachingEngine,
                            reason(c, candidates, eligibility, input),
                            // An import takes the place of a part of the prefill.
                            cachingEngine.isPresent() ? added.notMeasured() : added);
                });
    }

    private static Reason reason(
            Candidate chosen,
            List<Candidate> candidates,
            Eligibility eligibility,
            RankingInput input) {
        boolean rankedFirst = true;
        for (Candidate c : candidates) {
            rankedFirst &= c.rank() <= chosen.rank();
        }
        boolean workComplete = input.peerWork().complete();
        return new Reason(
                chosen.load(),
                chosen.bound(),
                rankedFirst,
                input.peerLoads().complete(),
                eligibility.paused(),
                eligibility.limited(),
                eligibility.full(),
                eligibility.leaving(),
                chosen.outlook().map(o -> workReason(o, workComplete)));
    }

    private static WorkReason workReason(Outlook outlook, boolean peersComplete) {
        long percent = Math.round(PERCENT * outlook.workTime());
        return new WorkReason(outlook.expectedMs(), percent, outlook.outstanding(), peersComplete);
    }

    /**
     * Returns the time until the first target of the service accepts requests of this daemon again,
     * if all of them have asked it to pause, have rate limits that permit none now, or have no room
     * and would fail if they had to reject many. Sending the request to a target that pauses would
     * only use up the retry budget, and waiting for one would hold the caller in vain.
     *
     * @param targets targets of the service
     * @return empty if the service has no target, or one that accepts requests now
     */
    public Optional<Duration> shortestWait(PlacementRequest request, List<Target> targets) {
        PeerLoads.View peerLoads = peers.view();
        return targets.stream()
                .filter(request::permits)
                .map(t -> t.remainingWait(request.share(), peerLoads))
                .min(Comparator.naturalOrder())
                .filter(wait -> !wait.isZero());
    }

    private Optional<Candidate> tryCandidates(
            RankingInput input, List<Candidate> candidates, boolean allowEjected) {
        PlacementRequest request = input.request();
        CandidateOrder order = new CandidateOrder(candidates);
        while (!order.isEmpty()) {
            Candidate c = order.next();
            int perSecond = coldLimit.get().share(request.service(), c.target(), request.share());
            if (c.target().tryBegin(perSecond, request.share(), input.peerLoads(), allowEjected)) {
                return Optional.of(c);
            }
        }
        return Optional.empty();
    }
}
