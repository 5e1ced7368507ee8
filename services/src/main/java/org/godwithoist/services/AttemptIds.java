package org.godwithoist.services;

import java.util.UUID;
import org.godwithoist.core.id.RequestId;

/** Makes ids of attempts. */
final class AttemptIds {
    /** Leaves room for the unique part within the longest permitted id. */
    private static final int MAX_PREFIX = 80;

    private AttemptIds() {}

    /**
     * Returns an id that no other attempt has, even if the caller uses its request id twice. It
     * starts with the request id, so that logs can be searched for it.
     */
    static RequestId next(RequestId request) {
        String id = request.value();
        String prefix = id.length() > MAX_PREFIX ? id.substring(0, MAX_PREFIX) : id;
        return new RequestId(prefix + "." + UUID.randomUUID());
    }
}
