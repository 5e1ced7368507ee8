package org.godwithoist.edge;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
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

    /** More connections than the queue of the listener and the task that accepts take. */
    private static final int FILLERS = QUEUE_LENGTH + 4;

    private static final int BUFFER_BYTES = 8192;

    private final int port = LoopbackPorts.next();
    private final Endpoint target;
    private final boolean acceptsWhileSilent;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<SocketChannel> fillers = new ArrayList<>();
    private LinkFault fault = LinkFault.NONE;
    private ServerSocket listener;

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
        Tasks.start("link-accept", () -> accept(next));
        return next;
    }

    /** Returns the address of the proxy. */
    Endpoint endpoint() {
        return new Endpoint("127.0.0.1", port);
    }

    /** Sets the fault from now on. */
    synchronized void setFault(LinkFault next) throws IOException {
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
            sockets.forEach(TargetLink::reset);
        }
        notifyAll();
    }

    private synchronized LinkFault fault() {
        return fault;
    }

    /** Fills the queue of the listener, so that the system ignores further attempts to connect. */
    private void fillQueue() throws IOException {
        for (int i = 0; i < FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(new InetSocketAddress(target.ip(), port));
            fillers.add(filler);
        }
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

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The other side has closed the connection.
            return;
        }
    }

    @Override
    public synchronized void close() throws IOException {
        setFault(LinkFault.NONE);
        listener.close();
        sockets.forEach(TargetLink::reset);
    }
}
