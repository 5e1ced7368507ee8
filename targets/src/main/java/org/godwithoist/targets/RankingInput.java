package org.godwithoist.targets;

import java.util.List;
import java.util.random.RandomGenerator;
import org.godwithoist.core.id.FailureDomainId;

/**
 * What a ranking looks at, read once so that the values agree.
 *
 * @param eligible targets that may get the request
 * @param listed all targets of the service
 * @param peerLoads requests of the other daemons
 * @param peerWork work of the other daemons
 * @param localDomain failure domain of this daemon
 * @param random breaks ties
 * @param now time of the placement
 */
record RankingInput(
        PlacementRequest request,
        List<Target> eligible,
        List<Target> listed,
        PeerLoads.View peerLoads,
        PeerWork.View peerWork,
        FailureDomainId localDomain,
        RandomGenerator random,
        long now) {}
