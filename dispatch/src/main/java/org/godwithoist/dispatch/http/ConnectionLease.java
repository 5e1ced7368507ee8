package org.godwithoist.dispatch.http;

import java.io.Closeable;

/**
 * The exclusive use of a connection to a target by one request. What a request leaves behind, such
 * as the action for the disconnect of its caller, reaches the connection through the lease only and
 * has no effect after its end, because the connection may carry another request by then.
 * Thread-safe.
 */
final class ConnectionLease implements Closeable {
    private final TargetConnection connection;
    private boolean active = true;
    private boolean closed;

    ConnectionLease(TargetConnection connection) {
        this.connection = connection;
    }

    /** Returns the connection, for the task of the request that holds the lease. */
    TargetConnection connection() {
        return connection;
    }

    /** Closes the connection. Has no effect after the end of the lease. */
    @Override
    public synchronized void close() {
        if (active) {
            closed = true;
            connection.close();
        }
    }

    /**
     * Ends the lease.
     *
     * @return whether the connection is still open, so that it may be leased again
     */
    synchronized boolean end() {
        active = false;
        return !closed;
    }
}
