package org.godwithoist.admission;

import org.godwithoist.core.id.TargetId;

/** Conditions of the fleet under which a holder may use a slot. Thread-safe. */
public interface SlotPolicy {
    /** Returns whether membership allows new requests to the target. */
    boolean acceptsWork(TargetId target);

    /**
     * Returns the number of reserved slots that the bundle and the member list assign to this
     * daemon at a target, whether or not they may be used now.
     */
    int reservedHeld(TargetId target);

    /** Returns whether all members that are not unresponsive have been in contact recently. */
    boolean inContactWithAll();

    /**
     * Returns whether the target's own load report leaves room for all reserved slots while no
     * owner grants slots.
     *
     * @param since instant since which no owner grants slots, in nanoseconds of the ticker; older
     *     load reports do not count
     */
    boolean reservedFitWithoutOwner(TargetId target, long since);
}
