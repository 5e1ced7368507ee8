package org.godwithoist.targets;

import java.util.ArrayList;
import java.util.List;

/**
 * The targets of a service that may get a request, and why others may not.
 *
 * @param targets targets that may get the request
 * @param paused number of targets that have asked this daemon to pause
 * @param limited number of targets whose rate limit permits no request of this daemon now
 * @param full number of targets that have no room for a request of this daemon and would fail if
 *     they had to reject many
 * @param leaving number of targets that have announced that they are leaving
 */
record Eligibility(List<Target> targets, int paused, int limited, int full, int leaving) {
    static Eligibility of(
            PlacementRequest request, List<Target> listed, PeerLoads.View peers, long now) {
        List<Target> eligible = new ArrayList<>(listed.size());
        int paused = 0;
        int limited = 0;
        int full = 0;
        int leaving = 0;
        for (Target t : listed) {
            if (t.isLeaving()) {
                leaving++;
            } else if (t.isPaused(now)) {
                paused++;
            } else if (!t.rateWait(request.share(), now).isZero()) {
                limited++;
            } else if (!t.hasRoom(request.share(), peers, now)) {
                full++;
            } else if (request.permits(t) && !request.tried().contains(t.id())) {
                eligible.add(t);
            }
        }
        return new Eligibility(eligible, paused, limited, full, leaving);
    }
}
