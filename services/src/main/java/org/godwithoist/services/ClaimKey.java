package org.godwithoist.services;

import org.godwithoist.core.id.IdempotencyKey;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Identifies a claim.
 *
 * @param workspace workspace of the caller
 * @param service requested service
 * @param key key chosen by the caller
 */
public record ClaimKey(WorkspaceId workspace, PoolId service, IdempotencyKey key) {}
