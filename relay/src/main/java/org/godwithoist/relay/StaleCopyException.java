package org.godwithoist.relay;

import java.io.IOException;

/** Thrown when the leader responds that it has no up-to-date copy of a table. */
public final class StaleCopyException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for the requested table. */
    public StaleCopyException(TableName table) {
        super("table " + table + ": the leader has no up-to-date copy");
    }
}
