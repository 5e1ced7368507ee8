package org.godwithoist.admission;

import org.godwithoist.core.id.TargetId;

/** What a holder must know of the fleet before it uses a slot. Thread-safe. */
public interface SlotPolicy {
    /** Returns whether membership lets the target have new work. */
    boolean acceptsWork(TargetId target);

    /**
     * Returns the reserved slots of this daemon at a target by the bundle and the member list,
     * whether or not they may be used now.
     */
    int reservedHeld(TargetId target);

    /** Returns whether every member that is not silent has been in contact lately. */
    boolean inContactWithAll();

    /**
     * Returns whether the target's own load report leaves room for all reserved slots while no
     * owner grants slots.
     *
     * @param since instant since which no owner grants; the report must be younger
     */
    boolean reservedFitWithoutOwner(TargetId target, long since);
}
