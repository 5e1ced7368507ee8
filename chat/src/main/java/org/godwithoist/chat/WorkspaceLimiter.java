package org.godwithoist.chat;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.bundle.Workspace;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.WorkspaceId;

/** Limits the requests in progress of each workspace at this daemon. Thread-safe. */
final class WorkspaceLimiter {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Map<WorkspaceId, Integer> inProgress = new ConcurrentHashMap<>();

    /**
     * Counts a new request. Each call that returns must be followed by one of {@link #release}.
     *
     * @throws RequestException {@link ErrorCode#OVER_LIMIT} if the workspace is at its limit
     */
    void acquire(Workspace workspace) {
        int count = inProgress.merge(workspace.id(), 1, Integer::sum);
        if (count > workspace.maxConcurrent()) {
            release(workspace.id());
            throw RequestException.notRun(
                            ErrorCode.OVER_LIMIT,
                            "the workspace has "
                                    + workspace.maxConcurrent()
                                    + " requests in progress, which is its limit")
                    .withRetryAfter(RETRY_AFTER);
        }
    }

    void release(WorkspaceId workspace) {
        inProgress.computeIfPresent(workspace, (_, n) -> n == 1 ? null : n - 1);
    }
}
