package org.godwithoist.services;

import org.godwithoist.core.id.RequestId;
import org.godwithoist.membership.Target;

/** Sends calls to targets. */
public interface ServiceClient {
    /**
     * Sends a call once and waits for status and headers of the answer, at most until the deadline
     * of the call.
     *
     * @param attempt id under which the target counts the call
     * @param body body of the call; not read if nothing could be sent
     * @throws ServiceException if no answer came
     * @throws org.godwithoist.core.error.RequestException if the body of the caller could not be
     *     read
     */
    ServiceAnswer send(Target target, RequestId attempt, ServiceCall call, ByteStream body);
}
