package org.godwithoist.dispatch.http;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.RequestConstraints;

/**
 * What a connection does and for how long it has made too little progress. Each byte that its peer
 * sends or reads counts as progress for a time, so that a peer that stays just above a bound holds
 * no more than others. Thread-safe.
 */
public final class ConnectionActivity {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Memory of a connection besides what it has reserved, in bytes. */
    private static final int CONNECTION_BYTES = 17_000;

    /** What a connection waits for. The later ones are closed only if no earlier one stalls. */
    public enum Phase {
        /** It receives a request, which has not run. */
        RECEIVING {
            @Override
            Duration maxStall(RequestConstraints constraints) {
                return constraints.maxReceiveStall();
            }
        },
        /** It sends a response. */
        SENDING {
            @Override
            Duration maxStall(RequestConstraints constraints) {
                return constraints.maxSendStall();
            }
        },
        /** It does not wait for its caller. */
        OTHER {
            @Override
            Duration maxStall(RequestConstraints constraints) {
                return Duration.ofNanos(Long.MAX_VALUE);
            }
        };

        /** Returns the time without progress after which the connection has stalled. */
        abstract Duration maxStall(RequestConstraints constraints);
    }

    /**
     * A connection and how long it has made no progress.
     *
     * @param nanos time without progress
     * @param portion part of the longest permitted stall; 0 if it does not wait for its caller
     * @param held memory of the budget that it holds, in bytes
     */
    record Stall(ConnectionActivity activity, Phase phase, long nanos, double portion, long held) {
        /** Returns the memory that the connection takes multiplied by the time. */
        double cost() {
            return (double) nanos * (CONNECTION_BYTES + held);
        }
    }

    private final ReadAheadSocket socket;
    private final RequestConstraints constraints;
    private final Ticker ticker;
    private Phase phase = Phase.OTHER;

    /** Last phase in which the connection waited for its peer. */
    private Phase lastWait = Phase.OTHER;

    /** Time from which the connection lags, while it waits for its peer. */
    private long lagsSince;

    /** How long the connection had lagged when it last stopped to wait for its peer. */
    private long lagNanos;

    private long headBytes;
    private long bodyBytes;
    private long responseBytes;
    private boolean closed;

    /** Creates an instance for a connection that does not wait for its peer. */
    public ConnectionActivity(
            ReadAheadSocket socket, RequestConstraints constraints, Ticker ticker) {
        this.socket = socket;
        this.constraints = constraints;
        this.ticker = ticker;
    }

    /**
     * Enters a phase. A connection that goes on to wait for the same after a pause lags as before.
     */
    public synchronized void enter(Phase next) {
        long now = ticker.nanos();
        if (phase != Phase.OTHER) {
            lagNanos = now - lagsSince;
        }
        phase = next;
        if (next == Phase.OTHER) {
            return;
        }
        lagsSince = next == lastWait ? now - lagNanos : now;
        lastWait = next;
    }

    /** Starts the next request, which does not lag. */
    public synchronized void startRequest() {
        phase = Phase.OTHER;
        lastWait = Phase.OTHER;
    }

    /** Sets whether large reads are permitted, because their memory is reserved. */
    void permitLargeReads(boolean value) {
        socket.permitLargeReads(value);
    }

    /** Sets the bytes that are reserved for the head of the request. */
    synchronized void holdHead(long bytes) {
        headBytes = bytes;
    }

    /** Sets the bytes that are reserved for the body of the request. */
    synchronized void holdBody(long bytes) {
        bodyBytes = bytes;
    }

    /** Sets the bytes that are reserved for the response. */
    synchronized void holdResponse(long bytes) {
        responseBytes = bytes;
    }

    private synchronized void progressed(int bytes) {
        long nanos = NANOS_PER_SECOND * bytes / constraints.minBytesPerSecond();
        lagsSince = Math.min(ticker.nanos(), lagsSince + nanos);
    }

    /** Returns how long the connection has made no progress. */
    synchronized Stall stall() {
        long nanos = ticker.nanos() - lagsSince;
        double portion = (double) nanos / phase.maxStall(constraints).toNanos();
        // The daemon is late, not the caller, if it has not read what has arrived.
        boolean waits =
                !closed
                        && phase != Phase.OTHER
                        && (phase == Phase.SENDING || !socket.hasUnreadInput());
        long request = phase == Phase.SENDING ? MemoryBudget.REQUEST_BYTES : 0;
        long held = headBytes + bodyBytes + responseBytes + request;
        return new Stall(this, phase, nanos, waits ? portion : 0, held);
    }

    /** Records that the connection is closed because there is no memory for it. */
    synchronized void closeForMemory() {
        closed = true;
    }

    /** Returns whether the connection was closed because others needed its memory. */
    synchronized boolean closedForMemory() {
        return closed;
    }

    /** Returns whether the caller has left. */
    boolean hasEnded() {
        return socket.isEnded();
    }

    /**
     * Closes the connection if it has stalled. A response is reset, so that the caller cannot take
     * it for complete.
     *
     * @param minPortion part of the longest permitted stall
     * @return false if it makes progress again or was closed already
     */
    boolean closeStalled(double minPortion) {
        synchronized (this) {
            if (closed || stall().portion() < minPortion) {
                return false;
            }
            closed = true;
        }
        try {
            socket.resetOnClose(true);
        } catch (IOException e) {
            // The connection has failed already; the close releases it.
            return closeSocket();
        }
        return closeSocket();
    }

    private boolean closeSocket() {
        socket.close();
        return true;
    }

    /** Returns the input of the connection, whose bytes are counted as progress. */
    public InputStream input() {
        return new FilterInputStream(socket.input()) {
            @Override
            public int read(byte[] bytes, int from, int length) throws IOException {
                int n = super.read(bytes, from, length);
                progressed(Math.max(0, n));
                return n;
            }
        };
    }

    /** Returns the output of the connection, whose waits for the caller are recorded. */
    public OutputStream output() {
        return new FilterOutputStream(socket.output()) {
            @Override
            public void write(byte[] bytes, int from, int length) throws IOException {
                enter(Phase.SENDING);
                try {
                    out.write(bytes, from, length);
                    progressed(length);
                } finally {
                    enter(Phase.OTHER);
                }
            }
        };
    }
}
