package org.godwithoist.dispatch;

import java.io.IOException;
import java.time.Duration;

/**
 * Response to one caller's request. Used by one task; {@link #callerDisconnected()} and {@link
 * #onDisconnect(Runnable)} may be called by any task.
 */
public interface CallerResponse {
    /**
     * Starts the response with its status and header fields.
     *
     * @return the response, which nobody else can add to
     * @throws IllegalStateException if it was started before
     */
    BegunResponse start(ResponseHead head) throws IOException;

    /**
     * Reserves memory for the bytes of the response that are held until they are sent, in place of
     * those reserved before.
     *
     * @return false if there is no memory for them; then nothing is reserved
     */
    default boolean reserveBuffer(int bytes) {
        return true;
    }

    /** Closes the connection, so that the caller cannot take the response for complete. */
    void abort();

    /**
     * Sends a response of the daemon itself.
     *
     * @param retryAfter delay after which the caller may retry; used if the refusal promises that
     *     the request did not run
     * @throws IllegalStateException if a response was started before
     */
    void refuse(Refusal refusal, Duration retryAfter) throws IOException;

    /** Closes the connection because there is no memory for the response. */
    default void abortForMemory() {
        abort();
    }

    /** Returns whether the daemon has closed the connection for lack of memory. */
    default boolean closedForMemory() {
        return false;
    }

    /** Returns whether the response has started. */
    boolean started();

    /** Returns whether the response has started and tells the caller where its body ends. */
    boolean statesEnd();

    /** Returns the number of bytes of the body that were sent. */
    long sentBytes();

    /** Returns whether the connection has ended, also if the daemon has closed it for memory. */
    boolean callerDisconnected();

    /**
     * Sets the action that runs when the caller closes its connection; null for none. Replaces the
     * previous action.
     */
    void onDisconnect(Runnable action);
}
