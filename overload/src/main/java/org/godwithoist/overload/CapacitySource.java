package org.godwithoist.overload;

import org.godwithoist.targets.FleetShare;

/** What a service's admission reads of the targets and the other daemons. */
interface CapacitySource {
    /** Returns what the targets show now. */
    CapacitySignals signals();

    /** Returns the demand of the other daemons. */
    PeerDemand.View peerDemand();

    /** Returns this daemon's even share of the fleet's limits. */
    FleetShare share();
}
