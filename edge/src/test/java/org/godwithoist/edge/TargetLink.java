package org.godwithoist.edge;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.core.task.Tasks;

/** The path from one daemon to one target: a proxy that can be given a fault. Thread-safe. */
final class TargetLink implements Closeable {
    private static final int QUEUE_LENGTH = 8;

    /** The system queues one more than the length, and the task that accepts takes one. */
    private static final int ACCEPTED_FILLERS = QUEUE_LENGTH + 2;

    private static final int MAX_FILLERS = ACCEPTED_FILLERS + 20;
    private static final Duration FILL_INTERVAL = Duration.ofMillis(5);
    private static final int BUFFER_BYTES = 8192;

    private final int port = LoopbackPorts.next();
    private final Endpoint target;
    private final boolean acceptsWhileSilent;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<SocketChannel> fillers = new ArrayList<>();
    private LinkFault fault = LinkFault.NONE;
    private ServerSocket listener;
    private Thread acceptTask;

    /**
     * Starts a proxy on a free port.
     *
     * @param acceptsWhileSilent whether the system accepts new connections while nothing arrives;
     *     otherwise the attempt to connect gets no answer
     */
    TargetLink(Endpoint target, boolean acceptsWhileSilent) throws IOException {
        this.target = target;
        this.acceptsWhileSilent = acceptsWhileSilent;
        listener = listen();
    }

    private ServerSocket listen() throws IOException {
        ServerSocket next = new ServerSocket(port, QUEUE_LENGTH, InetAddress.getLoopbackAddress());
        acceptTask = Tasks.start("link-accept", () -> accept(next));
        return next;
    }

    /** Returns the address of the proxy. */
    Endpoint endpoint() {
        return new Endpoint("127.0.0.1", port);
    }

    /** Sets the fault from now on. */
    void setFault(LinkFault next) throws IOException {
        change(next);
        if (next.refusesNewConnections) {
            awaitEndOfAcceptTask();
        }
    }

    /** Waits until the task has ended, because the port accepts connections until then. */
    private void awaitEndOfAcceptTask() {
        try {
            acceptTask.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void change(LinkFault next) throws IOException {
        fault = next;
        if (next.holdsData && !acceptsWhileSilent) {
            fillQueue();
        } else {
            clearQueue();
        }
        if (next.refusesNewConnections) {
            listener.close();
        } else if (listener.isClosed()) {
            listener = listen();
        }
        if (next.resetsOpenConnections) {
            resetOpenConnections();
        }
        notifyAll();
    }

    private synchronized LinkFault fault() {
        return fault;
    }

    /**
     * Fills the queue of the listener, so that the system ignores further attempts to connect. On a
     * busy host it takes some time until the system has queued them.
     */
    private void fillQueue() throws IOException {
        for (int i = 0; i < MAX_FILLERS && establishedFillers() < ACCEPTED_FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            fillers.add(filler);
            if (i >= ACCEPTED_FILLERS) {
                Tasks.sleep(FILL_INTERVAL);
            }
        }
    }

    private int establishedFillers() throws IOException {
        int count = 0;
        for (SocketChannel f : fillers) {
            if (f.finishConnect()) {
                count++;
            }
        }
        return count;
    }

    private void clearQueue() throws IOException {
        for (SocketChannel f : fillers) {
            f.close();
        }
        fillers.clear();
    }

    private synchronized void awaitData() throws InterruptedException {
        while (fault.holdsData) {
            wait();
        }
    }

    private void accept(ServerSocket from) {
        try {
            while (true) {
                Socket in = from.accept();
                if (fault().resetsNewConnections) {
                    reset(in);
                } else if (acceptsWhileSilent) {
                    Tasks.start("link", () -> forward(in));
                } else {
                    awaitData();
                    forward(in);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The proxy was closed, or refuses connections.
            return;
        }
    }

    private void forward(Socket in) {
        try {
            awaitData();
            Socket out = new Socket(target.ip(), target.port());
            sockets.addAll(List.of(in, out));
            Tasks.start("link-out", () -> copy(in, out));
            Tasks.start("link-in", () -> copy(out, in));
        } catch (IOException | InterruptedException e) {
            // The target has ended.
            reset(in);
        }
    }

    private void copy(Socket from, Socket to) {
        try (from;
                to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int n = 0; n >= 0; n = from.getInputStream().read(buffer)) {
                awaitData();
                to.getOutputStream().write(buffer, 0, n);
            }
            awaitData();
        } catch (IOException | InterruptedException e) {
            // One side closed the connection, or it was reset.
            return;
        } finally {
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    /** Resets both sides, whichever of them is closed first by the tasks that copy. */
    private void resetOpenConnections() {
        sockets.forEach(TargetLink::resetOnClose);
        sockets.forEach(TargetLink::reset);
    }

    private static void resetOnClose(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The connection is already closed.
            return;
        }
    }

    private static void reset(Socket socket) {
        resetOnClose(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // The other side has closed the connection.
            return;
        }
    }

    @Override
    public synchronized void close() throws IOException {
        change(LinkFault.NONE);
        listener.close();
        resetOpenConnections();
    }
}
