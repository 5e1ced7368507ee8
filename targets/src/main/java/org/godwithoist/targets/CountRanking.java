package org.godwithoist.targets;

import java.util.ArrayList;
import java.util.List;

/**
 * Ranks targets by the number of requests: for a prompt, engines in the rendezvous order of its
 * prefix; for other requests, targets by their expected response times.
 */
final class CountRanking {
    private CountRanking() {}

    static List<Candidate> rank(RankingInput input) {
        return input.request().prefix().isPresent()
                ? rankByPrefix(input, input.request().prefix().get().key())
                : rankByLatency(input);
    }

    private static List<Candidate> rankByPrefix(RankingInput input, PrefixKey key) {
        PoolLoad pool = new PoolLoad(input);
        List<Candidate> candidates = new ArrayList<>(input.eligible().size());
        for (int i = 0; i < input.eligible().size(); i++) {
            Target t = input.eligible().get(i);
            double rank = CachedPrompt.rendezvousWeight(key, t);
            candidates.add(new Candidate(t, pool.loads()[i], pool.bound(), pool.isSlow(i), rank));
        }
        return candidates;
    }

    private static List<Candidate> rankByLatency(RankingInput input) {
        LoadEstimate estimate = LoadEstimate.of(input.eligible(), input.peerLoads(), input.now());
        ResponseTimes times = new ResponseTimes(input);
        List<Candidate> candidates = new ArrayList<>(input.eligible().size());
        for (Target t : input.eligible()) {
            double load = estimate.load(t);
            double rank = -times.expectedMs(t, load, WorkTime.USUAL);
            candidates.add(new Candidate(t, load, Double.POSITIVE_INFINITY, false, rank));
        }
        return candidates;
    }
}
