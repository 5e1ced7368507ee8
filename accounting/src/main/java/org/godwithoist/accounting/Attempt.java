package org.godwithoist.accounting;

import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Attempt to process a request at a target, recorded before it is sent.
 *
 * @param id id under which the target records its usage
 * @param workspace workspace that is charged
 * @param target target that processes the request
 */
public record Attempt(RequestId id, WorkspaceId workspace, TargetId target) {}
