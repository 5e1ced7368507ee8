package org.godwithoist.rollout.lease;

import org.godwithoist.rollout.Progress;

/** What the task of a lease needs of the decisions about its order. Must be thread-safe. */
public interface OrderControl {
    /** Returns the progress that the holder of the lease writes next. */
    Progress wanted();

    /**
     * Called when a record of this daemon's lease was written, or when the row shows that another
     * daemon has ended the order.
     *
     * @param stored progress in the row
     */
    void recordStored(Progress stored);
}
