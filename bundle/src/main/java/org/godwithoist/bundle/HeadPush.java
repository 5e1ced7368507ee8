package org.godwithoist.bundle;

import java.util.List;
import org.godwithoist.core.id.HostId;

/** Puts a head in force at this daemon and at its peers. */
public interface HeadPush {
    /**
     * Adopts a head here and sends it to all peers in contact; returns when each has answered or
     * has run out of time.
     */
    Report push(Head head);

    /**
     * Which members have the head in force.
     *
     * @param acknowledged members that have it in force, this daemon included
     * @param unacknowledged members in contact that did not acknowledge in time
     * @param outOfContact members that this daemon is not in contact with
     */
    record Report(
            List<HostId> acknowledged, List<HostId> unacknowledged, List<HostId> outOfContact) {}
}
