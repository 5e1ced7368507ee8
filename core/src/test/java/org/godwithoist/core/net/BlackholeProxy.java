package org.godwithoist.core.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;

/**
 * Forwards TCP connections. Can drop all further data of the open ones while new ones work, like a
 * firewall that has lost its connection state, or the data of new ones too, like a link that is
 * down.
 */
public final class BlackholeProxy implements AutoCloseable {
    private final ServerSocket server;
    private final Endpoint target;
    private final List<AtomicBoolean> blackholes = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile boolean linkDown;

    /** Starts a proxy on a free port. */
    public BlackholeProxy(Endpoint target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Tasks.start("relay", this::accept);
    }

    /** Returns the address of the proxy. */
    public Endpoint endpoint() {
        return new Endpoint("127.0.0.1", server.getLocalPort());
    }

    /** Returns the number of connections that were accepted. */
    public int connections() {
        return blackholes.size();
    }

    /** Drops all further data of the open connections. */
    public void blackholeOpenConnections() {
        blackholes.forEach(m -> m.set(true));
    }

    /**
     * Sets whether the data of all connections is dropped. Connections that were open meanwhile
     * stay useless.
     */
    public void setLinkDown(boolean value) {
        linkDown = value;
        if (value) {
            blackholeOpenConnections();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket in = server.accept();
                Socket out = new Socket(target.ip(), target.port());
                AtomicBoolean blackhole = new AtomicBoolean(linkDown);
                sockets.addAll(List.of(in, out));
                blackholes.add(blackhole);
                Tasks.start("relay-out", () -> copy(in, out, blackhole));
                Tasks.start("relay-in", () -> copy(out, in, blackhole));
            }
        } catch (IOException e) {
            // The proxy was closed.
        }
    }

    private static void copy(Socket from, Socket to, AtomicBoolean blackhole) {
        try (from;
                to) {
            byte[] buffer = new byte[8192];
            for (int n = 0; n >= 0; n = from.getInputStream().read(buffer)) {
                if (!blackhole.get()) {
                    to.getOutputStream().write(buffer, 0, n);
                }
            }
        } catch (IOException e) {
            // One side closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket s : sockets) {
            s.close();
        }
    }
}
