package org.godwithoist.dispatch;

import java.io.IOException;

/** A target has sent an event of a stream whose id is not above those of the events before it. */
public final class RepeatedEventException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param id id of the event
     * @param last highest id before it
     */
    RepeatedEventException(long id, long last) {
        super("event " + id + " follows event " + last);
    }
}
