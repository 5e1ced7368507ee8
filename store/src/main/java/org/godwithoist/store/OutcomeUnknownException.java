package org.godwithoist.store;

/** Thrown if the response to a write was lost; the write may have taken effect. */
public final class OutcomeUnknownException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message starts with the operation. */
    public OutcomeUnknownException(String message) {
        super(message);
    }

    /** Creates an exception whose message starts with the operation. */
    public OutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
