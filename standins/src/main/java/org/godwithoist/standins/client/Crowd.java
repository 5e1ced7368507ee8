package org.godwithoist.standins.client;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.godwithoist.core.task.Tasks;

/** Clients of one behaviour, each of which connects again when its connection has ended. */
public final class Crowd implements AutoCloseable {
    /** Receive buffer of a client, so that the kernel holds little for one that reads slowly. */
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    private static final int CONNECT_TIMEOUT_MS = 5000;
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);

    /** Time in which each client has connected for the first time. */
    private static final int ARRIVAL_SECONDS = 60;

    private final ClientBehavior behavior;
    private final int port;
    private final CountDownLatch arrived;
    private volatile boolean over;

    private Crowd(ClientBehavior behavior, int size, int port) {
        this.behavior = behavior;
        this.port = port;
        arrived = new CountDownLatch(size);
    }

    /** Starts clients that connect to a port of this host. */
    public static Crowd start(ClientBehavior behavior, int size, int port) {
        Crowd crowd = new Crowd(behavior, size, port);
        for (int i = 0; i < size; i++) {
            Tasks.start("abusive-" + i, crowd::actRepeatedly);
        }
        return crowd;
    }

    /** Returns whether each client has connected within a time. */
    public boolean awaitArrival() throws InterruptedException {
        return arrived.await(ARRIVAL_SECONDS, TimeUnit.SECONDS);
    }

    private void actRepeatedly() {
        AtomicBoolean hasArrived = new AtomicBoolean();
        while (!over) {
            act(hasArrived);
            Tasks.sleep(RECONNECT_DELAY);
        }
    }

    private void act(AtomicBoolean hasArrived) {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                    CONNECT_TIMEOUT_MS);
            // A client that connects again does not count for one that has not connected.
            if (hasArrived.compareAndSet(false, true)) {
                arrived.countDown();
            }
            behavior.send(socket.getOutputStream(), () -> over);
            behavior.receive(socket.getInputStream(), () -> over);
        } catch (IOException e) {
            // The daemon may close the connection of such a client, or not accept it.
            return;
        }
    }

    /** Makes the clients end. */
    @Override
    public void close() {
        over = true;
    }
}
