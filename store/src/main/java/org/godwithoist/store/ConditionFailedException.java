package org.godwithoist.store;

/** Thrown if a row does not have the expected version; nothing was written. */
public final class ConditionFailedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message starts with the operation. */
    public ConditionFailedException(String message) {
        super(message);
    }

    /** Creates an exception whose message starts with the operation. */
    public ConditionFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
