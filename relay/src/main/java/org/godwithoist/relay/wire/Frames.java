package org.godwithoist.relay.wire;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.godwithoist.core.time.Deadline;

/** Reads and writes messages on a connection, each after its length in bytes. */
final class Frames {
    private Frames() {}

    /** Writes a message with one call, so that it is not sent in two packets. */
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
     * Reads a message.
     *
     * @param mostBytes longest message to read
     * @throws IOException if it is not there in time, is too long, or the connection has ended
     */
    static byte[] read(Socket socket, int mostBytes, Deadline deadline) throws IOException {
        int length = ByteBuffer.wrap(bytes(socket, Integer.BYTES, deadline)).getInt();
        if (length < 0 || length > mostBytes) {
            throw new IOException("a message of " + length + " bytes, at most " + mostBytes);
        }
        return bytes(socket, length, deadline);
    }

    private static byte[] bytes(Socket socket, int count, Deadline deadline) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] bytes = new byte[count];
        int have = 0;
        while (have < count) {
            Duration left = deadline.remaining();
            if (left.isZero()) {
                throw new SocketTimeoutException("no whole message in time");
            }
            socket.setSoTimeout((int) Math.max(1, left.toMillis()));
            int n = in.read(bytes, have, count - have);
            if (n < 0) {
                throw new EOFException("the connection has ended");
            }
            have += n;
        }
        return bytes;
    }
}
