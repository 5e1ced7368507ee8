package org.godwithoist.accounting;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;

/** Queries targets for the usage of attempts whose response was lost. */
public interface TargetUsageClient {
    /**
     * Queries one target. Attempts that are missing in the result stay unsettled and are queried
     * again, as are all of them if the future fails.
     */
    CompletableFuture<Map<RequestId, TargetUsage>> query(TargetId target, List<RequestId> attempts);
}
