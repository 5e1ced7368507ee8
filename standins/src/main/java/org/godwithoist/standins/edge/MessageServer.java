package org.godwithoist.standins.edge;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.http.ConnectionLimit;
import org.godwithoist.dispatch.http.ConnectionListener;
import org.godwithoist.dispatch.http.MessageReader;
import org.godwithoist.dispatch.http.MessageWriter;
import org.godwithoist.dispatch.http.ReadAheadSocket;

/** HTTP/1.1 server on a loopback port that lets its handler send arbitrary bytes. */
final class MessageServer implements Closeable {
    private static final int MAX_LINE_BYTES = 16_384;
    private static final int MAX_REFUSAL_CHECKS = 500;
    private static final Duration REFUSAL_CHECK_INTERVAL = Duration.ofMillis(2);

    /** A client connection. */
    record Connection(ReadAheadSocket socket, MessageWriter writer) {
        /**
         * Waits until the client closes the connection or sends further bytes, or the timeout
         * expires.
         *
         * @return whether the client closed the connection
         */
        boolean awaitClose(Duration timeout) {
            socket.awaitInput(Ticker.SYSTEM.nanos() + timeout.toNanos());
            return socket.isEnded();
        }
    }

    /** Handles requests. */
    @FunctionalInterface
    interface Handler {
        /**
         * Handles one request and writes the response, if any.
         *
         * @return whether the connection stays open
         */
        boolean serve(ClassicHttpRequest request, byte[] body, Connection connection)
                throws IOException;
    }

    private final Handler handler;
    private final ConnectionListener listener;
    private final AtomicBoolean listenerClosed = new AtomicBoolean();
    private final Set<ReadAheadSocket> openSockets = ConcurrentHashMap.newKeySet();

    MessageServer(String name, Handler handler) throws IOException {
        this(name, new Endpoint("127.0.0.1", 0), handler);
    }

    /**
     * Starts a server.
     *
     * @param address address to bind; port 0 for a free one
     */
    MessageServer(String name, Endpoint address, Handler handler) throws IOException {
        this.handler = handler;
        listener =
                ConnectionListener.open(
                        address,
                        name,
                        new Supervisor((task, cause, backoff) -> {}, Ticker.SYSTEM),
                        ConnectionLimit.none(),
                        ConnectionListener.Handlers.closing(this::serveConnection));
    }

    Endpoint endpoint() {
        return new Endpoint("127.0.0.1", listener.port());
    }

    private void serveConnection(Socket raw) {
        try (ReadAheadSocket socket = new ReadAheadSocket(raw, "standin", Ticker.SYSTEM)) {
            openSockets.add(socket);
            MessageReader reader = MessageReader.ofCaller(socket.input(), MAX_LINE_BYTES);
            MessageWriter writer = new MessageWriter(socket.output());
            Connection connection = new Connection(socket, writer);
            boolean keepOpen = true;
            while (keepOpen) {
                ClassicHttpRequest request = reader.readRequest();
                keepOpen =
                        request != null
                                && handler.serve(request, reader.readBody(request), connection);
            }
            openSockets.remove(socket);
        } catch (IOException | HttpException e) {
            // The daemon under test closed the connection, which tests provoke on purpose.
            return;
        }
    }

    /** Closes the port and all open connections, as if the process had been killed. */
    @Override
    public void close() throws IOException {
        closeListener();
        openSockets.forEach(ReadAheadSocket::close);
    }

    /** Closes the port and waits until another server can have it. Has no effect afterwards. */
    void closeListener() throws IOException {
        if (listenerClosed.compareAndSet(false, true)) {
            Endpoint endpoint = endpoint();
            listener.close();
            awaitRefusal(endpoint);
        }
    }

    /**
     * Waits until the port refuses connections. The system closes it once the accepting task has
     * noticed, and a daemon that finds the port open takes the end of its connection for another
     * fault than a crash.
     */
    private static void awaitRefusal(Endpoint endpoint) {
        for (int i = 0; i < MAX_REFUSAL_CHECKS; i++) {
            try (Socket probe = new Socket()) {
                probe.connect(new InetSocketAddress(endpoint.ip(), endpoint.port()));
            } catch (IOException e) {
                // Refused, as of a process that has ended.
                return;
            }
            Tasks.sleep(REFUSAL_CHECK_INTERVAL);
        }
    }
}
