package org.godwithoist.services;

import java.util.List;
import java.util.Optional;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.IdempotencyKey;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Deadline;

/**
 * A request to a plain service, without its body.
 *
 * @param id id of the caller's request
 * @param workspace workspace that is charged
 * @param priority priority of the request
 * @param service pool of the targets that serve it
 * @param method HTTP method
 * @param path path and query at the target, starting with a slash
 * @param headers headers that are forwarded
 * @param hasBody whether a body follows
 * @param key idempotency key of a request that runs at most once; empty for other requests
 * @param deadline instant by which the response must be complete
 */
public record ServiceRequest(
        RequestId id,
        WorkspaceId workspace,
        Priority priority,
        PoolId service,
        MethodName method,
        String path,
        List<Header> headers,
        boolean hasBody,
        Optional<IdempotencyKey> key,
        Deadline deadline) {
    /** Copies the list of headers. */
    public ServiceRequest {
        headers = List.copyOf(headers);
    }

    /**
     * Returns whether the request may be sent again although a target may have run it: it changes
     * nothing, no claim protects it and no body would have to be read a second time.
     */
    public boolean isRepeatable() {
        return method.isSafe() && key.isEmpty() && !hasBody;
    }
}
