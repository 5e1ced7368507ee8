package org.godwithoist.dispatch;

import java.io.IOException;

/**
 * A response to a caller that has been started. Only its holder can add to it: the attempt that has
 * started it, and for an event stream the attempts to which it is handed on. Used by one task.
 */
public interface BegunResponse {
    /** Sends a part of the body. It is flushed unless the length of the body was stated. */
    void write(byte[] bytes, int from, int length) throws IOException;

    /** Ends the response, as complete if it states its end. */
    void finish() throws IOException;
}
