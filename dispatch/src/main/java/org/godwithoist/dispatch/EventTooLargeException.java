package org.godwithoist.dispatch;

import java.io.IOException;

/** A target sent an event that exceeds the limit, or an event without an end. */
public final class EventTooLargeException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for an event of more than the given number of bytes. */
    public EventTooLargeException(int limit) {
        super("the target sent an event of more than " + limit + " bytes");
    }
}
