package org.godwithoist.accounting;

import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/** Records the usage of this daemon's requests. Implementations must be thread-safe. */
public interface UsageRecorder {
    /**
     * Records an attempt. Must be called before the request is sent to the target, so that its
     * usage cannot be missed.
     *
     * @param attempt unique id under which the target records the usage of the attempt
     */
    void open(RequestId attempt, WorkspaceId workspace, TargetId target);

    /**
     * Records the usage that the target counted for an attempt. Has no effect if the attempt is not
     * open, for example if its usage was recorded before.
     */
    void close(RequestId attempt, Usage usage);

    /** Records that an attempt certainly did not run; it is not charged. */
    void cancelUnsent(RequestId attempt);

    /**
     * Records that the response to an attempt was lost, so that its usage must be queried from the
     * target. Has no effect in recorders that cannot query targets; the attempt then stays open.
     */
    default void markLost(RequestId attempt) {}
}
