package org.godwithoist.dispatch.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;

/** Accepts TCP connections at an address and starts a task for each. */
public final class ConnectionListener implements Closeable {
    private static final int BACKLOG = 256;

    /**
     * Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
     */
    private static final Duration ACCEPT_RETRY_DELAY = Duration.ofMillis(20);

    /** Time without a new connection after which the queue counts as empty. */
    private static final int DRAIN_TIMEOUT_MS = 1;

    private final ServerSocket server;
    private final ConnectionLimit limit;
    private final Handlers handlers;
    private final String name;
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean draining;

    /**
     * Handlers of accepted connections. Each handles a connection in its own task and closes it.
     *
     * @param serve handles a connection for which the limit leaves room
     * @param refuse handles a connection for which it leaves none, within a short time
     */
    public record Handlers(Consumer<Socket> serve, Consumer<Socket> refuse) {
        /** Returns handlers that close a connection without room. */
        public static Handlers closing(Consumer<Socket> serve) {
            return new Handlers(serve, ConnectionListener::closeSocket);
        }
    }

    private ConnectionListener(
            ServerSocket server, String name, ConnectionLimit limit, Handlers handlers) {
        this.server = server;
        this.name = name;
        this.limit = limit;
        this.handlers = handlers;
    }

    /**
     * Opens a listener and starts to accept.
     *
     * @param address address to bind; port 0 lets the system choose a port
     * @param name name of the tasks
     * @param supervisor owner of the accepting task
     * @param limit limits the open connections
     * @param handlers handlers of the connections
     * @throws IOException if the address cannot be bound
     */
    public static ConnectionListener open(
            Endpoint address,
            String name,
            Supervisor supervisor,
            ConnectionLimit limit,
            Handlers handlers)
            throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(address.ip(), address.port()), BACKLOG);
        ConnectionListener listener = new ConnectionListener(server, name, limit, handlers);
        supervisor.start(name + "-accept", listener::acceptAll);
        return listener;
    }

    /** Returns the bound port, also if the system chose it. */
    public int port() {
        return server.getLocalPort();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                acceptNext();
            } catch (IOException e) {
                // Either the process is out of file descriptors, or the listener was closed, which
                // ends the loop.
                Tasks.sleep(ACCEPT_RETRY_DELAY);
            }
        }
        drained.countDown();
    }

    private void acceptNext() throws IOException {
        Socket socket;
        try {
            socket = server.accept();
        } catch (SocketTimeoutException e) {
            if (draining) {
                close();
            }
            return;
        }
        limit.opened();
        Tasks.start(name, () -> handle(socket));
    }

    private void handle(Socket socket) {
        try {
            serveOrRefuse(socket);
        } finally {
            limit.closed();
        }
    }

    private void serveOrRefuse(Socket socket) {
        if (!limit.tryServe(() -> hasInput(socket))) {
            handlers.refuse().accept(socket);
            return;
        }
        try {
            handlers.serve().accept(socket);
        } finally {
            limit.served();
        }
    }

    private static boolean hasInput(Socket socket) {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            // The connection has failed; its handler closes it.
            return false;
        }
    }

    /** Closes a connection that is not served. */
    public static void closeSocket(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection had failed before.
            return;
        }
    }

    /**
     * Accepts the connections that the kernel has queued, then closes the listener. A connection
     * that is still queued at the close is reset, and its caller gets no answer.
     *
     * @param timeout time after which the listener is closed also if connections are queued
     */
    public void closeWhenDrained(Duration timeout) throws IOException {
        server.setSoTimeout(DRAIN_TIMEOUT_MS);
        draining = true;
        wakeAcceptingTask(timeout);
        try {
            drained.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
        }
    }

    /** Ends an accept that began before the timeout was set, by a connection of its own. */
    private void wakeAcceptingTask(Duration timeout) {
        try (Socket last = new Socket()) {
            last.connect(server.getLocalSocketAddress(), (int) timeout.toMillis());
        } catch (IOException e) {
            // The task does not wait: it has drained the queue and closed the listener, or the
            // queue is full.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
