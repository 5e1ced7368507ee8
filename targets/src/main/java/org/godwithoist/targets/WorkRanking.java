package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.godwithoist.catalog.EngineSpec;

/**
 * Ranks targets like {@link CountRanking}, but prefers others to the first engine if the request
 * might miss its objective there and they are clearly better. Engines that have the prefix cached
 * come first then, and after them the next ones in the rendezvous order, so that few engines cache
 * the same prefix. Targets of requests without a prompt are ranked by their expected response
 * times, at the current speed of their hosts. Used by one placement.
 */
final class WorkRanking {
    /**
     * Part of the objective that the expected time at the first engine must exceed before the
     * request moves to an engine that has its prefix cached.
     */
    private static final double CACHED_RISK_SHARE = 0.1;

    /**
     * Part of the objective that the expected time at the first engine must exceed before the
     * prefix is processed again elsewhere.
     */
    private static final double UNCACHED_RISK_SHARE = 0.25;

    /** Part of the objective by which another engine must be better. */
    private static final double MIN_GAIN_SHARE = 0.1;

    /**
     * Engines next in the rendezvous order of which one is chosen at random, so that not all
     * daemons with the same view move a prefix to the same engine.
     */
    private static final int MOVE_CHOICES = 2;

    /**
     * Weight of the delay that a prompt causes to the streams of an engine on a slow host, where
     * their pauses are long already.
     */
    private static final double DISTURBANCE_WEIGHT = 0.5;

    private static final double NANOS_PER_MS = 1e6;

    private final RankingInput input;
    private final double tokensPerMs;
    private final double baseMs;
    private final long promptTokens;
    private final long sharedTokens;
    private final long heldTokens;
    private final long memory;
    private WorkEstimate estimate;

    WorkRanking(RankingInput input) {
        this.input = input;
        ServiceSpeed speed =
                input.eligible().isEmpty()
                        ? new ServiceSpeed()
                        : input.eligible().getFirst().work().speed();
        tokensPerMs = speed.tokensPerMs();
        baseMs = speed.baseMs();
        PlacementRequest request = input.request();
        promptTokens = request.promptTokens();
        sharedTokens = request.sharedTokens();
        heldTokens = request.heldTokens();
        memory = request.service().engine().map(EngineSpec::cacheTokens).orElse(Long.MAX_VALUE / 2);
    }

    List<Candidate> rank() {
        return input.request().prefix().isPresent()
                ? rankByPrefix(input.request().prefix().get().key())
                : rankByLatency();
    }

    // ---- requests with a prompt

    private List<Candidate> rankByPrefix(PrefixKey key) {
        List<Candidate> candidates = CountRanking.rank(input);
        if (candidates.isEmpty()) {
            return candidates;
        }
        double[] loads = new double[candidates.size()];
        for (int i = 0; i < loads.length; i++) {
            loads[i] = candidates.get(i).load();
        }
        estimate = new WorkEstimate(input.eligible(), loads, input.peerWork());
        int first = first(candidates);
        if (isFull(candidates.get(first))) {
            candidates.replaceAll(c -> isFull(c) ? c.fill() : c);
            first = first(candidates);
        }
        boolean cached = candidates.get(first).target().hasCachedPrefix(key, input.now());
        if (input.request().objective().isPresent()) {
            double objectiveMs = ms(input.request().objective().get());
            Candidate c = candidates.get(first);
            long outstanding = estimate.prefill(c.target(), c.load());
            double cost = cost(c, workTime(c), outstanding, cached);
            if (cost > CACHED_RISK_SHARE * objectiveMs) {
                preferOthers(candidates, key, cached, cost, objectiveMs);
                first = first(candidates);
            }
        }
        candidates.set(first, candidates.get(first).with(outlook(candidates.get(first), key)));
        return candidates;
    }

    /**
     * Marks the engines at which the request is likelier to meet its objective.
     *
     * @param firstCached whether the first engine has the prefix cached
     * @param firstCost expected time at the first engine
     */
    private void preferOthers(
            List<Candidate> candidates,
            PrefixKey key,
            boolean firstCached,
            double firstCost,
            double objectiveMs) {
        double maxCost = firstCost - MIN_GAIN_SHARE * objectiveMs;
        boolean mayMove = firstCost > UNCACHED_RISK_SHARE * objectiveMs;
        double againMs = firstCached ? sharedTokens / tokensPerMs : 0;
        boolean anyCached = false;
        int[] next = new int[MOVE_CHOICES];
        int choices = 0;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate c = candidates.get(i);
            double workTime = workTime(c);
            long outstanding = estimate.prefill(c.target(), c.load());
            if (c.passedOver() || cost(c, workTime, outstanding, true) >= maxCost || isResting(c)) {
                continue;
            }
            if (c.target().hasCachedPrefix(key, input.now())) {
                if (!isFull(c)) {
                    candidates.set(i, c.prefer());
                    anyCached = true;
                }
            } else if (mayMove
                    && !anyCached
                    && cost(c, workTime, outstanding, false) + againMs < maxCost
                    && !isFull(c)) {
                insert(next, choices, i, candidates);
                choices = Math.min(choices + 1, MOVE_CHOICES);
            }
        }
        if (!anyCached && choices > 0) {
            int chosen = next[input.random().nextInt(choices)];
            candidates.set(chosen, candidates.get(chosen).prefer());
        }
    }

    /** Inserts a candidate into those that are next in the rendezvous order, if it is one. */
    private static void insert(int[] next, int count, int added, List<Candidate> candidates) {
        int at = count;
        while (at > 0 && candidates.get(added).rank() > candidates.get(next[at - 1]).rank()) {
            if (at < next.length) {
                next[at] = next[at - 1];
            }
            at--;
        }
        if (at < next.length) {
            next[at] = added;
        }
    }

    /** Returns the candidate that is tried first; one that rests only if all do. */
    private static int first(List<Candidate> candidates) {
        int first = 0;
        boolean found = !isResting(candidates.get(0));
        for (int i = 1; i < candidates.size(); i++) {
            Candidate c = candidates.get(i);
            if ((!found || c.isBefore(candidates.get(first))) && !isResting(c)) {
                first = i;
                found = true;
            }
        }
        return first;
    }

    private static boolean isResting(Candidate candidate) {
        return candidate.target().health() == HealthState.RESTING;
    }

    /** Returns what the request has to expect. */
    private Outlook outlook(Candidate c, PrefixKey key) {
        boolean cached = c.target().hasCachedPrefix(key, input.now());
        TokenWork outstanding = estimate.outstanding(c.target(), c.load());
        double workTime = workTime(c);
        double expectedMs = expectedMs(c, workTime, outstanding.prefill(), cached);
        return new Outlook(expectedMs, workTime, outstanding);
    }

    /**
     * Returns the expected time until the first event. Between the chunks of prompts, an engine
     * serves the streams that it has begun, so that prompts take longer at an engine with many
     * requests.
     */
    private double expectedMs(Candidate c, double workTime, long outstanding, boolean cached) {
        int slots = c.target().entry().slots();
        double utilization = c.load() / slots;
        double queued = Math.max(0, c.load() + 1 - slots);
        double prefillMs = (outstanding + toPrefill(cached)) / tokensPerMs;
        return workTime * (baseMs * (1 + queued) + prefillMs * (1 + utilization));
    }

    /**
     * Returns the expected time and the weighted delay of the streams at an engine whose host is
     * slow.
     */
    private double cost(Candidate c, double workTime, long outstanding, boolean cached) {
        double excess = Math.max(0, workTime - WorkTime.USUAL);
        double disturbanceMs = excess * c.load() * toPrefill(cached) / tokensPerMs;
        return expectedMs(c, workTime, outstanding, cached) + DISTURBANCE_WEIGHT * disturbanceMs;
    }

    private double workTime(Candidate c) {
        return c.target().work().workTimeFactor(input.now());
    }

    private long toPrefill(boolean cached) {
        return cached ? promptTokens - sharedTokens : promptTokens;
    }

    /** Returns whether the request needs more memory than the engine has left. */
    private boolean isFull(Candidate c) {
        return estimate.held(c.target(), c.load()) + Math.min(memory, heldTokens) > memory;
    }

    private static double ms(Duration time) {
        return time.toNanos() / NANOS_PER_MS;
    }

    // ---- requests without a prompt

    private List<Candidate> rankByLatency() {
        LoadEstimate estimate = LoadEstimate.of(input.eligible(), input.peerLoads(), input.now());
        ResponseTimes times = new ResponseTimes(input);
        List<Candidate> candidates = new ArrayList<>(input.eligible().size());
        for (Target t : input.eligible()) {
            double load = estimate.load(t);
            double workTime = t.work().workTimeFactor(input.now());
            double expectedMs = times.expectedMs(t, load, workTime);
            Outlook outlook = new Outlook(expectedMs, workTime, TokenWork.NONE);
            candidates.add(
                    new Candidate(t, load, Double.POSITIVE_INFINITY, false, -expectedMs)
                            .with(outlook));
        }
        return candidates;
    }
}
