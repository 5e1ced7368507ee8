package org.godwithoist.services;

import java.time.Duration;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.membership.Target;

/** Sends requests to targets. Thread-safe. */
public interface ServiceClient {
    /**
     * Sends a request once and waits for status and headers of the response, at most until the
     * deadline of the request.
     *
     * @param attempt id under which the target counts the request
     * @param body body of the request; not read if no connection could be established
     * @throws ServiceException if no response arrived
     * @throws org.godwithoist.core.error.RequestException if the body of the caller could not be
     *     read
     */
    ServiceResponse send(Target target, RequestId attempt, ServiceRequest request, ByteStream body);

    /**
     * Returns whether the process of a target still runs, which it shows by responding on a new
     * connection.
     *
     * @param timeout after which a target that does not respond counts as ended
     */
    boolean isRunning(Target target, Duration timeout);
}
