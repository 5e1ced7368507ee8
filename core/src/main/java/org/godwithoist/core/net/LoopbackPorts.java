package org.godwithoist.core.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Allocates loopback ports for the child processes of tests, the demonstration and the training
 * run. Several such parent processes may run concurrently, and a daemon starts to listen some time
 * after its port was chosen. Each parent therefore reserves a block of ports by listening on the
 * first one until it exits, and allocates only from its own blocks. Thread-safe.
 */
public final class LoopbackPorts {
    /**
     * Start of the first block. All blocks are below the ephemeral port range, from which the
     * operating system assigns ports to outgoing connections.
     */
    private static final int FIRST = 20_000;

    private static final int BLOCK_SIZE = 100;
    private static final int BLOCKS = 100;

    /** Strong references, because an unreachable socket is closed and would free its block. */
    private static final List<ServerSocket> HELD = new ArrayList<>();

    private static int block = (int) (ProcessHandle.current().pid() % BLOCKS);
    private static int used = BLOCK_SIZE;

    private LoopbackPorts() {}

    /**
     * Returns a port on which no process listens. Each port is returned only once.
     *
     * @throws IllegalStateException if all blocks are reserved
     */
    public static synchronized int next() {
        while (true) {
            if (used == BLOCK_SIZE) {
                holdNextBlock();
            }
            int port = FIRST + block * BLOCK_SIZE + used;
            used++;
            if (isFree(port)) {
                return port;
            }
        }
    }

    private static void holdNextBlock() {
        for (int i = 0; i < BLOCKS; i++) {
            block = (block + 1) % BLOCKS;
            if (holds(FIRST + block * BLOCK_SIZE)) {
                used = 1;
                return;
            }
        }
        throw new IllegalStateException("every block of ports is held by another process");
    }

    /** Listens on the port until the process exits; returns false if the port is in use. */
    private static boolean holds(int port) {
        try {
            return HELD.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        } catch (IOException e) {
            // Another process has reserved this block.
            return false;
        }
    }

    private static boolean isFree(int port) {
        try (var socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            // The port is in use; the caller tries the next one.
            return false;
        }
    }
}
