package org.godwithoist.store.feed;

/**
 * Thrown if the store no longer has the changes after the requested version; the reader must read a
 * new snapshot of the table.
 */
public class HistoryExpiredException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message states the requested version, if known. */
    public HistoryExpiredException(String message) {
        super(message);
    }
}
