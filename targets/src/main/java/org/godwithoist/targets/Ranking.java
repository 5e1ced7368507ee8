package org.godwithoist.targets;

import java.util.List;

/** How the targets of a service are ranked for a request. */
enum Ranking {
    /** By the number of requests at each target, for services that report nothing else. */
    BY_COUNT {
        @Override
        List<Candidate> rank(RankingInput input) {
            return CountRanking.rank(input);
        }

        @Override
        RequestWork work(RankingInput input, Candidate chosen) {
            return RequestWork.NONE;
        }
    },
    /** By the expected time until the first event. */
    BY_WORK {
        @Override
        List<Candidate> rank(RankingInput input) {
            return new WorkRanking(input).rank();
        }

        @Override
        RequestWork work(RankingInput input, Candidate chosen) {
            long uncached =
                    CachedPrompt.uncachedTokens(input.request(), chosen.target(), input.now());
            TokenWork outstanding =
                    chosen.outlook()
                            .map(Outlook::outstanding)
                            .orElseGet(() -> known(input, chosen.target()));
            return RequestWork.of(input.request(), uncached, outstanding);
        }
    };

    private static TokenWork known(RankingInput input, Target target) {
        return target.work().outstanding().plus(input.peerWork().work(target.key()));
    }

    /** Returns the ranking of a service: by work as soon as one target reports its work time. */
    static Ranking of(List<Target> listed) {
        for (Target t : listed) {
            if (t.reportsWorkTime()) {
                return BY_WORK;
            }
        }
        return BY_COUNT;
    }

    /** Returns the targets that may get the request, each with its rank. */
    abstract List<Candidate> rank(RankingInput input);

    /** Returns the work of the request at the chosen target. */
    abstract RequestWork work(RankingInput input, Candidate chosen);
}
