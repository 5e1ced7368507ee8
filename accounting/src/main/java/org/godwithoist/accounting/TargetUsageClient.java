package org.godwithoist.accounting;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;

/** Asks targets what they counted for attempts whose answer did not arrive. */
public interface TargetUsageClient {
    /**
     * Asks one target. Attempts that are missing in the answer stay unsettled and are asked again;
     * so do all of them if the future fails.
     */
    CompletableFuture<Map<RequestId, TargetUsage>> query(TargetId target, List<RequestId> attempts);
}
