package org.godwithoist.accounting;

import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Work that was or will be sent to a target.
 *
 * @param id id under which the target counts the work
 * @param workspace workspace that is charged
 * @param target target that does the work
 */
public record Attempt(RequestId id, WorkspaceId workspace, TargetId target) {}
