package org.godwithoist.store;

/** Thrown if the store is unavailable; a write did not take effect. */
public final class StoreUnavailableException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message starts with the operation. */
    public StoreUnavailableException(String message) {
        super(message);
    }

    /** Creates an exception whose message starts with the operation. */
    public StoreUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
