package org.godwithoist.core.task;

import java.time.Duration;

/** Thrown if an awaited result is not available before the timeout. */
public final class AwaitTimeoutException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message states the timeout in milliseconds. */
    public AwaitTimeoutException(Duration timeout, Throwable cause) {
        super("no result within " + timeout.toMillis() + " ms", cause);
    }
}
