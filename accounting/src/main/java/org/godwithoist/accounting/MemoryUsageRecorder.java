package org.godwithoist.accounting;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Records usage in memory only, for tests and experiments without a store. Thread-safe. An attempt
 * whose response was lost stays open.
 */
public final class MemoryUsageRecorder implements UsageRecorder {
    private final Map<RequestId, WorkspaceId> open = new ConcurrentHashMap<>();
    private final Map<WorkspaceId, Usage> closed = new ConcurrentHashMap<>();

    @Override
    public void open(RequestId attempt, WorkspaceId workspace, TargetId target) {
        open.put(attempt, workspace);
    }

    @Override
    public void close(RequestId attempt, Usage usage) {
        WorkspaceId workspace = open.remove(attempt);
        if (workspace != null) {
            closed.merge(workspace, usage, Usage::plus);
        }
    }

    @Override
    public void cancelUnsent(RequestId attempt) {
        open.remove(attempt);
    }

    /** Returns the total usage of the closed attempts of a workspace. */
    public Usage usage(WorkspaceId workspace) {
        return closed.getOrDefault(workspace, Usage.NONE);
    }
}
