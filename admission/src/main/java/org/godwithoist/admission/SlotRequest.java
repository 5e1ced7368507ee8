package org.godwithoist.admission;

import org.godwithoist.core.Priority;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Request for one slot.
 *
 * @param request request that will use the slot
 * @param workspace workspace whose share is charged
 * @param priority priority of the request
 * @param pool pool of the target
 * @param target target at which the slot is needed
 */
public record SlotRequest(
        RequestId request,
        WorkspaceId workspace,
        Priority priority,
        PoolId pool,
        TargetId target) {}
