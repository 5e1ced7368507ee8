package org.godwithoist.dispatch.http;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import jdk.net.ExtendedSocketOptions;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;

/**
 * A socket whose input is read ahead by its own task, so that a close by the peer, or unexpected
 * bytes, are detected while no one reads. TCP keep-alive probes end a connection to an unreachable
 * peer. Thread-safe, except for the streams.
 */
public final class ReadAheadSocket implements Closeable {
    /** Size of the buffer while nothing has arrived. */
    private static final int SMALL_BUFFER_BYTES = 2048;

    /** Size of the buffer while more has arrived than fits into the small one. */
    private static final int LARGE_BUFFER_BYTES = 8192;

    private static final byte[] EMPTY = new byte[0];

    private static final int PROBE_IDLE_S = 1;
    private static final int PROBE_INTERVAL_S = 1;
    private static final int PROBE_COUNT = 2;

    private final Socket socket;
    private final Ticker ticker;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition stateChanged = lock.newCondition();
    private final InputStream input = new BufferedBytes();
    private final OutputStream output;
    private byte[] buffer = EMPTY;
    private volatile boolean permitsLargeReads = true;
    private int position;
    private int limit;
    private boolean ended;
    private IOException failure;
    private Runnable onEndAction;
    private boolean hasReadDeadline;
    private long readDeadline;
    private long maxGapNanos;
    private boolean hasOverallDeadline;
    private long overallDeadline;

    /**
     * Takes ownership of a connected socket and starts to read from it.
     *
     * @param name name of the reading task
     */
    public ReadAheadSocket(Socket socket, String name, Ticker ticker) throws IOException {
        this.socket = socket;
        this.ticker = ticker;
        socket.setTcpNoDelay(true);
        socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, PROBE_IDLE_S);
        socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_INTERVAL_S);
        socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBE_COUNT);
        output = socket.getOutputStream();
        InputStream raw = socket.getInputStream();
        Tasks.start(name, () -> readAhead(raw));
    }

    /**
     * Returns the input from the peer. Reads fail with a {@link SocketTimeoutException} after the
     * limit of {@link #setReadDeadline}.
     */
    public InputStream input() {
        return input;
    }

    /** Returns the unbuffered output to the peer. */
    public OutputStream output() {
        return output;
    }

    /**
     * Sets the deadline from which reads fail with a {@link SocketTimeoutException}.
     *
     * @param deadlineNanos deadline on the ticker, in nanoseconds
     */
    public void setReadDeadline(long deadlineNanos) {
        setReadDeadline(deadlineNanos, Duration.ZERO);
    }

    /**
     * Sets the deadline of the first byte and the longest gap between later reads. Reads that
     * exceed a limit fail with a {@link SocketTimeoutException}. Removes the limit of {@link
     * #setOverallDeadline}.
     *
     * @param deadlineNanos deadline on the ticker, in nanoseconds
     * @param maxGap longest gap between two reads that return bytes; zero if the deadline applies
     *     to all reads
     */
    public void setReadDeadline(long deadlineNanos, Duration maxGap) {
        lock.lock();
        try {
            hasReadDeadline = true;
            readDeadline = deadlineNanos;
            maxGapNanos = maxGap.toNanos();
            hasOverallDeadline = false;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Sets the deadline from which all reads fail with a {@link SocketTimeoutException}, also those
     * for which bytes have arrived. It bounds the input of a peer that never pauses.
     *
     * @param deadlineNanos deadline on the ticker, in nanoseconds
     */
    public void setOverallDeadline(long deadlineNanos) {
        lock.lock();
        try {
            hasOverallDeadline = true;
            overallDeadline = deadlineNanos;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Sets whether a large buffer may be used while more has arrived than fits into a small one.
     * Where memory is limited, its owner reserves the large one first.
     */
    void permitLargeReads(boolean value) {
        permitsLargeReads = value;
    }

    /** Returns whether the peer has closed the connection or it has failed. */
    public boolean isEnded() {
        lock.lock();
        try {
            return ended;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether this side has closed the connection. */
    public boolean isClosedByThisSide() {
        return socket.isClosed();
    }

    /** Returns whether the connection is open and has no unread input. */
    public boolean isIdle() {
        return !hasUnreadInput() && !isEnded();
    }

    /** Returns whether the system holds bytes of the peer that the reading task has not taken. */
    private boolean hasQueuedInput() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            // The connection has ended.
            return false;
        }
    }

    /**
     * Returns whether the peer has sent bytes that were not read, also if the reading task has not
     * run since they arrived.
     */
    public boolean hasUnreadInput() {
        // In this order: the reading task moves bytes from the system to the buffer.
        return hasQueuedInput() || hasBufferedInput();
    }

    private boolean hasBufferedInput() {
        lock.lock();
        try {
            return position < limit;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Sets an action that runs once when the connection ends; null for none. Runs it immediately if
     * the connection has already ended.
     */
    public void onEnd(Runnable action) {
        boolean alreadyEnded;
        lock.lock();
        try {
            onEndAction = action;
            alreadyEnded = ended && action != null;
        } finally {
            lock.unlock();
        }
        if (alreadyEnded) {
            action.run();
        }
    }

    /**
     * Waits until the peer has sent bytes or ended the connection.
     *
     * @param deadlineNanos deadline on the ticker, in nanoseconds
     * @return false if neither happened by the deadline
     */
    public boolean awaitInput(long deadlineNanos) {
        lock.lock();
        try {
            while (position == limit && !ended) {
                long left = deadlineNanos - ticker.nanos();
                if (left <= 0) {
                    return false;
                }
                stateChanged.awaitNanos(left);
            }
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            lock.unlock();
        }
    }

    /** Closes the connection. It counts as ended when this method returns. */
    @Override
    public void close() {
        try {
            socket.close();
            recordEnd(new SocketException("closed by this side"));
        } catch (IOException e) {
            recordEnd(e);
        }
    }

    private void readAhead(InputStream raw) {
        try {
            byte[] next = new byte[SMALL_BUFFER_BYTES];
            int n = raw.read(next, 0, next.length);
            while (n >= 0) {
                bufferFilled(next, n);
                awaitRoom();
                next = next(n == next.length && raw.available() > 0);
                n = raw.read(next, 0, next.length);
            }
            recordEnd(null);
        } catch (IOException e) {
            recordEnd(e);
        }
    }

    /**
     * Waits until the buffer is empty.
     *
     * @throws IOException if this side closes the connection, which is not an end of the input
     */
    private void awaitRoom() throws IOException {
        lock.lock();
        try {
            while (position < limit) {
                if (socket.isClosed()) {
                    throw new SocketException("closed by this side");
                }
                stateChanged.awaitUninterruptibly();
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns a buffer for the next read. A read that may have to wait gets a small one, so that a
     * peer that stops in the middle of a long message costs no more memory than an idle one.
     */
    private byte[] next(boolean moreHasArrived) {
        int size = moreHasArrived && permitsLargeReads ? LARGE_BUFFER_BYTES : SMALL_BUFFER_BYTES;
        lock.lock();
        try {
            byte[] used = buffer;
            buffer = EMPTY;
            position = 0;
            limit = 0;
            return used.length == size ? used : new byte[size];
        } finally {
            lock.unlock();
        }
    }

    private void bufferFilled(byte[] bytes, int n) {
        lock.lock();
        try {
            buffer = bytes;
            position = 0;
            limit = n;
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private void recordEnd(IOException cause) {
        Runnable action;
        lock.lock();
        try {
            // The reading task may wait for room, also after the end was recorded.
            stateChanged.signalAll();
            if (ended) {
                return;
            }
            ended = true;
            failure = cause;
            action = onEndAction;
        } finally {
            lock.unlock();
        }
        if (action != null) {
            action.run();
        }
    }

    /** The read-ahead bytes as a stream. */
    private final class BufferedBytes extends InputStream {
        @Override
        public int read() throws IOException {
            byte[] single = new byte[1];
            return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
        }

        @Override
        public int read(byte[] destination, int from, int length) throws IOException {
            if (length == 0) {
                return 0;
            }
            lock.lock();
            try {
                while (position == limit) {
                    if (ended) {
                        return endOfInput();
                    }
                    stateChanged.awaitNanos(nanosUntilReadDeadline());
                }
                checkOverallDeadline();
                int n = Math.min(length, limit - position);
                System.arraycopy(buffer, position, destination, from, n);
                position += n;
                if (position == limit) {
                    stateChanged.signalAll();
                }
                if (maxGapNanos > 0) {
                    readDeadline = ticker.nanos() + maxGapNanos;
                }
                return n;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted while waiting for data of the peer", e);
            } finally {
                lock.unlock();
            }
        }

        private void checkOverallDeadline() throws SocketTimeoutException {
            if (hasOverallDeadline && overallDeadline - ticker.nanos() <= 0) {
                throw new SocketTimeoutException("the peer still sends at the overall deadline");
            }
        }

        private int endOfInput() throws IOException {
            if (failure != null) {
                throw new IOException("connection failed: " + failure.getMessage(), failure);
            }
            return -1;
        }

        private long nanosUntilReadDeadline() throws SocketTimeoutException {
            if (!hasReadDeadline) {
                return Long.MAX_VALUE;
            }
            long left = readDeadline - ticker.nanos();
            if (left <= 0) {
                throw new SocketTimeoutException("no data before the read deadline");
            }
            return left;
        }
    }

    /**
     * Sets whether a close resets the connection, also a close by the end of this process, so that
     * the peer cannot take it for the end of the output.
     */
    public void resetOnClose(boolean value) throws IOException {
        socket.setSoLinger(value, 0);
    }

    /** Limits what the system buffers of the output. */
    public void limitSendBuffer(int bytes) throws IOException {
        socket.setSendBufferSize(bytes);
    }

    /**
     * Sends the end of the output, discards input until the peer closes, for at most the given
     * time, then closes.
     *
     * @param maxDiscarded maximum number of discarded bytes, so that a peer that sends as fast as
     *     it can costs little processor time
     */
    void closeGracefully(long waitMillis, int maxDiscarded) {
        long until = ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        try {
            socket.shutdownOutput();
            byte[] discarded = new byte[1024];
            int total = 0;
            setReadDeadline(until);
            setOverallDeadline(until);
            int n = input.read(discarded, 0, discarded.length);
            while (n >= 0 && total <= maxDiscarded) {
                total += n;
                n = input.read(discarded, 0, discarded.length);
            }
        } catch (IOException e) {
            // The peer did not close in time or reset the connection; in both cases the connection
            // ends here.
            recordEnd(e);
        }
        close();
    }
}
