package org.godwithoist.targets;

import java.util.Optional;
import java.util.Set;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;

/**
 * A request that needs a target.
 *
 * @param service service that handles the request
 * @param prefix prompt prefix; empty for requests without a prompt
 * @param tried targets of earlier attempts of the request
 * @param outOfService failure domains whose targets get no new requests
 * @param share this daemon's share of the limits of the fleet
 */
public record PlacementRequest(
        ServiceSpec service,
        Optional<PromptPrefix> prefix,
        Set<TargetId> tried,
        Set<FailureDomainId> outOfService,
        FleetShare share) {
    /** Returns whether the operators and the target itself permit new requests to a target. */
    boolean permits(Target target) {
        return !target.isGoingAway() && !outOfService.contains(target.entry().domain());
    }
}
