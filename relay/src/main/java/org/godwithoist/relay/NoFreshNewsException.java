package org.godwithoist.relay;

import java.io.IOException;

/** A daemon answered that it cannot tell the changes of a table now. */
public final class NoFreshNewsException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Makes an exception for a table. */
    public NoFreshNewsException(TableName table) {
        super("table " + table + ": the leader has no fresh news");
    }
}
