package org.godwithoist.relay.wire;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;

/** Reads and writes messages with a length prefix of 4 bytes. */
final class Frames {
    private Frames() {}

    /** Writes the length and the message with one call, so that they are not split into packets. */
    static void write(Socket socket, byte[] message) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(
                ByteBuffer.allocate(Integer.BYTES + message.length)
                        .putInt(message.length)
                        .put(message)
                        .array());
        out.flush();
    }

    /**
     * Writes a message to a peer that may not read it.
     *
     * @param timeout time after which the socket is closed if the message is not written
     * @throws IOException if it was closed
     */
    static void write(Socket socket, byte[] message, Duration timeout) throws IOException {
        Thread timer = Tasks.start("frame-timeout", () -> closeAfter(socket, timeout));
        try {
            write(socket, message);
        } finally {
            timer.interrupt();
        }
    }

    private static void closeAfter(Socket socket, Duration timeout) {
        if (!Tasks.sleep(timeout)) {
            return;
        }
        try {
            socket.close();
        } catch (IOException e) {
            // The connection has failed already, which ends the write too.
            return;
        }
    }

    /**
     * Reads a message.
     *
     * @param maxBytes maximum length of the message
     * @throws IOException if the message is not complete by the deadline, is too long, or the
     *     connection was closed
     */
    static byte[] read(Socket socket, int maxBytes, Deadline deadline) throws IOException {
        int length = ByteBuffer.wrap(readFully(socket, Integer.BYTES, deadline)).getInt();
        if (length < 0 || length > maxBytes) {
            throw new IOException("invalid message length " + length + ", maximum is " + maxBytes);
        }
        return readFully(socket, length, deadline);
    }

    private static byte[] readFully(Socket socket, int count, Deadline deadline)
            throws IOException {
        InputStream in = socket.getInputStream();
        byte[] bytes = new byte[count];
        int received = 0;
        while (received < count) {
            Duration remaining = deadline.remaining();
            if (remaining.isZero()) {
                throw new SocketTimeoutException("timed out before the message was complete");
            }
            socket.setSoTimeout((int) Math.max(1, remaining.toMillis()));
            int read = in.read(bytes, received, count - received);
            if (read < 0) {
                throw new EOFException("connection closed before the message was complete");
            }
            received += read;
        }
        return bytes;
    }
}
