package org.godwithoist.acceptance;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon or stand-in that a test runs as a separate process. */
public final class ServerProcess implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final int PROBE_TIMEOUT_MS = 200;
    private static final int PROBE_INTERVAL_MS = 25;
    private static final int STOP_TIMEOUT_S = 20;

    /** Size of the heap of a deployed daemon. */
    static final String DEPLOYED_HEAP = "-Xmx96m";

    private final String name;
    private final Process process;

    private ServerProcess(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    /**
     * Starts a main class with the class path of this test and waits until its port accepts
     * connections.
     */
    static ServerProcess start(Path logs, String name, Class<?> main, int port, String... args)
            throws IOException {
        return start(logs, name, main, DEPLOYED_HEAP, port, args);
    }

    /**
     * Starts a main class with another size of the heap.
     *
     * @param heap option for the maximum size of the heap
     */
    static ServerProcess start(
            Path logs, String name, Class<?> main, String heap, int port, String... args)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(heap, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", classPath(), main.getName()));
        command.addAll(List.of(args));
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(logs.resolve(name + ".log").toFile())
                        .start();
        ServerProcess server = new ServerProcess(name, process);
        server.awaitPort(port);
        return server;
    }

    /** Sends a signal, for example STOP or CONT. */
    public void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns whether the process runs. */
    boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process, so that it cannot drain, and waits for its exit. */
    public void kill() {
        process.destroyForcibly();
        // The port must be free before the test starts another process on it.
        process.onExit().join();
    }

    /** Asks the process to drain and waits for its exit code. Fails the test after 20 s. */
    public int drain() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw new AssertionError(name + " did not stop within " + STOP_TIMEOUT_S + " s");
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private void awaitPort(int port) throws IOException {
        long end = System.nanoTime() + START_TIMEOUT.toNanos();
        while (System.nanoTime() < end && process.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        PROBE_TIMEOUT_MS);
                return;
            } catch (IOException e) {
                awaitNextProbe();
            }
        }
        process.destroyForcibly();
        throw new IOException(
                name
                        + " exited or accepted no connection within 20 s; see its log file; port "
                        + port);
    }

    private static void awaitNextProbe() {
        try {
            Thread.sleep(PROBE_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String classPath() {
        String surefire = System.getProperty("surefire.test.class.path");
        return surefire == null ? System.getProperty("java.class.path") : surefire;
    }
}
