package org.godwithoist.bundle;

import java.util.List;
import org.godwithoist.core.id.HostId;

/** Sends a head to the daemons of the fleet so that it takes effect. */
public interface HeadPush {
    /**
     * Adopts a head at this daemon and sends it to all peers in contact. Blocks until each of them
     * has responded or has timed out.
     */
    Report push(Head head);

    /**
     * Members by whether the head is in force at them.
     *
     * @param acknowledged members at which it is in force, including this daemon
     * @param unacknowledged members in contact that did not acknowledge it in time
     * @param outOfContact members that this daemon is not in contact with
     */
    record Report(
            List<HostId> acknowledged, List<HostId> unacknowledged, List<HostId> outOfContact) {}
}
