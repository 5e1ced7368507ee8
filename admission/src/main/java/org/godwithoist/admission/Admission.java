package org.godwithoist.admission;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.id.TargetId;

/**
 * Grants the slots that requests of this daemon need before they may be sent to a target.
 * Thread-safe.
 */
public interface Admission {
    /**
     * Waits for a slot at the requested target. Blocks the calling virtual thread.
     *
     * @param request demand
     * @param timeout maximum wait; zero to try without waiting
     * @return a slot, or empty if none became available in time; the demand is then withdrawn
     */
    Optional<Slot> acquire(SlotRequest request, Duration timeout);

    /**
     * Returns the expected wait for a slot at a target; zero if this daemon can get one without
     * waiting for another request to finish.
     */
    Duration expectedWait(TargetId target);
}
