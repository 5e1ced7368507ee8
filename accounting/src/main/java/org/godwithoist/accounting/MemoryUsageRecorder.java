package org.godwithoist.accounting;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/** Keeps usage in memory only; for tests and experiments without a store. */
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

    /** Returns the usage of a workspace so far. */
    public Usage usage(WorkspaceId workspace) {
        return closed.getOrDefault(workspace, Usage.NONE);
    }
}
