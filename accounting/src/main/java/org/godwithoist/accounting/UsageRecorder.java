package org.godwithoist.accounting;

import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/** Takes the usage of this daemon's requests. */
public interface UsageRecorder {
    /**
     * Registers work before it is sent to a target, so that it cannot be forgotten.
     *
     * @param attempt id under which the target counts the work; each attempt has its own
     */
    void open(RequestId attempt, WorkspaceId workspace, TargetId target);

    /**
     * Records what the target counted for an attempt; a second call for the same attempt does
     * nothing.
     */
    void close(RequestId attempt, Usage usage);

    /** Records that an attempt certainly did not run. */
    void cancelUnsent(RequestId attempt);

    /**
     * Records that the answer of an attempt was lost, so that its count has to be asked from the
     * target. Does nothing in recorders that cannot ask targets; the attempt then stays open.
     */
    default void markLost(RequestId attempt) {}
}
