package org.godwithoist.services;

import java.util.UUID;
import org.godwithoist.core.id.RequestId;

final class AttemptIds {
    /** Leaves room for the 37 characters of the unique part within {@link RequestId#MAX_LENGTH}. */
    private static final int MAX_PREFIX_LENGTH = 80;

    private AttemptIds() {}

    /**
     * Returns an id that no other attempt has, even if the caller reuses its request id. It starts
     * with the request id, so that logs can be searched for it.
     */
    static RequestId next(RequestId request) {
        String id = request.value();
        String prefix = id.length() > MAX_PREFIX_LENGTH ? id.substring(0, MAX_PREFIX_LENGTH) : id;
        return new RequestId(prefix + "." + UUID.randomUUID());
    }
}
