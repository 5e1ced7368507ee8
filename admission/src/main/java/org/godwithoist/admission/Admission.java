package org.godwithoist.admission;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.id.TargetId;

/** Gives slots to the requests of this daemon. */
public interface Admission {
    /**
     * Waits for a slot at the wanted target. Blocks the calling virtual thread.
     *
     * @param request demand
     * @param patience longest wait
     * @return a slot, or empty if there is none in time; the demand is withdrawn then
     */
    Optional<Slot> acquire(SlotRequest request, Duration patience);

    /** Returns the expected wait for a slot at a target now; zero if a slot is free here. */
    Duration expectedWait(TargetId target);
}
