package org.godwithoist.core.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Allocates loopback ports for child processes: in tests, in the demonstration and in the training
 * run that records the class data sharing archive. Several such parent processes may run
 * concurrently, and a daemon starts to listen some time after its port was chosen. Each parent
 * therefore reserves a block of ports by listening on the first one until it exits, and allocates
 * only from its own blocks. Thread-safe.
 */
public final class LoopbackPorts {
    /**
     * Start of the first block. All blocks are below the ephemeral port range, from which the
     * operating system assigns ports to outgoing connections.
     */
    private static final int FIRST_PORT = 20_000;

    private static final int BLOCK_SIZE = 100;
    private static final int BLOCK_COUNT = 100;

    /** Strong references, because an unreachable socket is closed and would free its block. */
    private static final List<ServerSocket> BLOCK_SOCKETS = new ArrayList<>();

    private static int currentBlock = (int) (ProcessHandle.current().pid() % BLOCK_COUNT);
    private static int nextOffset = BLOCK_SIZE;

    private LoopbackPorts() {}

    /**
     * Returns a loopback port on which no process listens. Returns each port only once.
     *
     * @throws IllegalStateException if all blocks are reserved
     */
    public static synchronized int next() {
        while (true) {
            if (nextOffset == BLOCK_SIZE) {
                reserveNextBlock();
            }
            int port = FIRST_PORT + currentBlock * BLOCK_SIZE + nextOffset;
            nextOffset++;
            if (isFree(port)) {
                return port;
            }
        }
    }

    private static void reserveNextBlock() {
        for (int i = 0; i < BLOCK_COUNT; i++) {
            currentBlock = (currentBlock + 1) % BLOCK_COUNT;
            if (reserve(FIRST_PORT + currentBlock * BLOCK_SIZE)) {
                nextOffset = 1;
                return;
            }
        }
        throw new IllegalStateException(
                "all blocks of loopback ports are reserved by running processes");
    }

    /** Listens on the port until the process exits; returns false if the port is in use. */
    private static boolean reserve(int port) {
        try {
            return BLOCK_SOCKETS.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        } catch (IOException e) {
            // The block is already reserved.
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
