package org.godwithoist.core.task;

import java.time.Duration;

/** An awaited result did not arrive in time. */
public final class AwaitTimeoutException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Makes the failure with the time that was waited. */
    public AwaitTimeoutException(Duration timeout, Throwable cause) {
        super("no result within " + timeout.toMillis() + " ms", cause);
    }
}
