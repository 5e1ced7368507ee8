package org.godwithoist.dispatch.http;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
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
    private static final int BUFFER_BYTES = 8192;
    private static final int PROBE_IDLE_S = 1;
    private static final int PROBE_INTERVAL_S = 1;
    private static final int PROBES = 2;

    private final Socket socket;
    private final Ticker ticker;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private final InputStream input = new BufferedBytes();
    private final OutputStream output;
    private int position;
    private int limit;
    private boolean ended;
    private IOException failure;
    private Runnable endAction;
    private boolean hasReadLimit;
    private long readUntil;
    private long pauseNanos;

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
        socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES);
        output = socket.getOutputStream();
        InputStream raw = socket.getInputStream();
        Tasks.start(name, () -> readAhead(raw));
    }

    /**
     * Returns the input from the peer. Reads fail with a {@link SocketTimeoutException} after the
     * limit of {@link #readUntil}.
     */
    public InputStream input() {
        return input;
    }

    /** Returns the unbuffered output to the peer. */
    public OutputStream output() {
        return output;
    }

    /**
     * Sets the time from which reads fail with a {@link SocketTimeoutException}.
     *
     * @param nanos time of the ticker, in nanoseconds
     */
    public void readUntil(long nanos) {
        readUntil(nanos, Duration.ZERO);
    }

    /**
     * Sets the time by which the first byte must arrive, and the longest gap between later reads.
     * Reads that exceed a limit fail with a {@link SocketTimeoutException}.
     *
     * @param nanos time of the ticker, in nanoseconds
     * @param pause longest gap between two reads that return bytes; zero to apply the time to all
     *     reads
     */
    public void readUntil(long nanos, Duration pause) {
        lock.lock();
        try {
            hasReadLimit = true;
            readUntil = nanos;
            pauseNanos = pause.toNanos();
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the peer has closed the connection or it has failed. */
    public boolean ended() {
        lock.lock();
        try {
            return ended;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the connection is open and has no unread input. */
    public boolean quiet() {
        lock.lock();
        try {
            return !ended && position == limit;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Sets an action that runs once when the peer ends the connection; null for none. Runs it
     * immediately if the connection has already ended.
     */
    public void onEnd(Runnable action) {
        boolean now;
        lock.lock();
        try {
            endAction = action;
            now = ended && action != null;
        } finally {
            lock.unlock();
        }
        if (now) {
            action.run();
        }
    }

    /**
     * Waits until the peer has sent bytes or ended the connection.
     *
     * @param untilNanos time of the ticker, in nanoseconds
     * @return false if neither happened by that time
     */
    public boolean awaitInput(long untilNanos) {
        lock.lock();
        try {
            while (position == limit && !ended) {
                long left = untilNanos - ticker.nanos();
                if (left <= 0) {
                    return false;
                }
                changed.awaitNanos(left);
            }
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            end(e);
        }
        lock.lock();
        try {
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private void readAhead(InputStream raw) {
        try {
            while (awaitRoom()) {
                int n = raw.read(buffer, 0, BUFFER_BYTES);
                if (n < 0) {
                    break;
                }
                filled(n);
            }
            end(null);
        } catch (IOException e) {
            end(e);
        }
    }

    private boolean awaitRoom() {
        lock.lock();
        try {
            while (position < limit) {
                changed.awaitUninterruptibly();
                if (socket.isClosed()) {
                    return false;
                }
            }
            return true;
        } finally {
            lock.unlock();
        }
    }

    private void filled(int n) {
        lock.lock();
        try {
            position = 0;
            limit = n;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private void end(IOException cause) {
        Runnable action;
        lock.lock();
        try {
            if (ended) {
                return;
            }
            ended = true;
            failure = cause;
            action = endAction;
            changed.signalAll();
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
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] target, int from, int length) throws IOException {
            lock.lock();
            try {
                while (position == limit) {
                    if (ended) {
                        return endOfInput();
                    }
                    changed.awaitNanos(readTimeLeft());
                }
                int n = Math.min(length, limit - position);
                System.arraycopy(buffer, position, target, from, n);
                position += n;
                if (position == limit) {
                    changed.signalAll();
                }
                if (pauseNanos > 0) {
                    readUntil = ticker.nanos() + pauseNanos;
                }
                return n;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted while reading", e);
            } finally {
                lock.unlock();
            }
        }

        private int endOfInput() throws IOException {
            if (failure != null) {
                throw new IOException("connection failed: " + failure.getMessage(), failure);
            }
            return -1;
        }

        private long readTimeLeft() throws SocketTimeoutException {
            if (!hasReadLimit) {
                return Long.MAX_VALUE;
            }
            long left = readUntil - ticker.nanos();
            if (left <= 0) {
                throw new SocketTimeoutException("no byte in time");
            }
            return left;
        }
    }

    /**
     * Sends the end of the output, discards input until the peer closes, for at most the given
     * time, then closes.
     */
    void closeAfterPeer(long waitMillis) {
        long until = ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        try {
            socket.shutdownOutput();
            byte[] dropped = new byte[1024];
            readUntil(until);
            int n = input.read(dropped, 0, dropped.length);
            while (n >= 0) {
                n = input.read(dropped, 0, dropped.length);
            }
        } catch (IOException e) {
            // The peer did not close in time or reset the connection; in both cases the connection
            // ends here.
            end(e);
        }
        close();
    }
}
