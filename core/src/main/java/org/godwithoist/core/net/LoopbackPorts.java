package org.godwithoist.core.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Ports of loopback for processes that this one starts: in tests, the demonstration and the
 * training run. Such processes run side by side, and a daemon listens some time after its port was
 * chosen. Each process therefore holds the first port of a block while it lives, and takes its
 * ports from that block alone.
 */
public final class LoopbackPorts {
    /**
     * First port of all blocks. The blocks lie below the range from which the system takes ports of
     * outgoing connections.
     */
    private static final int FIRST = 20_000;

    private static final int BLOCK_SIZE = 100;
    private static final int BLOCKS = 100;

    /** Referenced for the life of the process, because an unreachable socket is closed. */
    private static final List<ServerSocket> HELD = new ArrayList<>();

    private static int block = (int) (ProcessHandle.current().pid() % BLOCKS);
    private static int used = BLOCK_SIZE;

    private LoopbackPorts() {}

    /**
     * Returns a port of loopback on which nothing listens.
     *
     * @throws IllegalStateException if other processes hold all blocks
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

    /** Listens on a port until the process ends. */
    private static boolean holds(int port) {
        try {
            return HELD.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        } catch (IOException e) {
            // Another process holds this block.
            return false;
        }
    }

    private static boolean isFree(int port) {
        try (var socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            // Another process listens here; the next port is tried.
            return false;
        }
    }
}
