package org.godwithoist.dispatch.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayDeque;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.time.Ticker;

/** A connection to a target. It carries one request at a time. */
final class TargetConnection implements Closeable {
    private static final int MAX_LINE_BYTES = 16_384;

    /** Number of requests whose responses are recognized if they arrive late. */
    private static final int MAX_RECENT_REQUESTS = 8;

    /** Wait for bytes after a body, which the copy that has filled it up sends with its end. */
    private static final Duration NEXT_BYTES_TIMEOUT = Duration.ofMillis(20);

    private final ReadAheadSocket socket;
    private final MessageReader reader;
    private final MessageWriter writer;
    private long idleUntil;
    private int requests;
    private final ArrayDeque<RequestId> recentRequests = new ArrayDeque<>(0);

    private TargetConnection(ReadAheadSocket socket) {
        this.socket = socket;
        reader = new MessageReader(socket.input(), MAX_LINE_BYTES);
        socket.permitLargeReads(false);
        writer = new MessageWriter(socket.output());
    }

    static TargetConnection open(Endpoint endpoint, Duration timeout, Ticker ticker)
            throws IOException {
        Socket raw = new Socket();
        try {
            InetSocketAddress address = new InetSocketAddress(endpoint.ip(), endpoint.port());
            raw.connect(address, (int) Math.max(1, timeout.toMillis()));
            return new TargetConnection(new ReadAheadSocket(raw, "target-" + endpoint, ticker));
        } catch (IOException e) {
            raw.close();
            throw e;
        }
    }

    ReadAheadSocket socket() {
        return socket;
    }

    MessageReader reader() {
        return reader;
    }

    MessageWriter writer() {
        return writer;
    }

    /** Records a request that the connection carries and returns the number before it. */
    int recordRequest(RequestId id) {
        if (recentRequests.size() == MAX_RECENT_REQUESTS) {
            recentRequests.removeFirst();
        }
        recentRequests.addLast(id);
        return requests++;
    }

    /** Returns whether the connection has recently carried a request. */
    boolean hasCarried(RequestId id) {
        return recentRequests.contains(id);
    }

    /** Records that the connection is idle, and the time until which the target keeps it open. */
    void setIdleUntil(long nanos) {
        idleUntil = nanos;
        reader.releaseBuffer();
        socket.permitLargeReads(false);
    }

    /** Returns whether the next request may use the connection. */
    boolean isUsable(long now) {
        return idleUntil - now > 0 && isIdle();
    }

    /**
     * Returns whether the connection is open and the target has sent nothing after the last
     * response.
     */
    boolean isIdle() {
        return !socket.isEnded() && !hasUnreadInput();
    }

    /** Returns whether the target has sent bytes that were not read. */
    boolean hasUnreadInput() {
        return reader.hasUnreadBytes() || socket.hasUnreadInput();
    }

    /**
     * Returns whether bytes follow a body that ends with what may be the beginning of a head. Waits
     * for them only if it is too long for a coincidence.
     */
    boolean awaitBytesAfterBody(int headStartBytes, Ticker ticker) {
        if (headStartBytes < BytesBeforeResponse.MIN_HEAD_START_BYTES) {
            return hasUnreadInput();
        }
        long until = ticker.nanos() + NEXT_BYTES_TIMEOUT.toNanos();
        return reader.hasUnreadBytes() || socket.awaitInput(until);
    }

    @Override
    public void close() {
        socket.close();
    }
}
