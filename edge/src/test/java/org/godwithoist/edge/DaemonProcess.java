package org.godwithoist.edge;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.godwithoist.core.id.Endpoint;

/** An edge daemon that runs as a process of its own, with its settings and log in a directory. */
final class DaemonProcess implements Closeable {
    /** Options of the virtual machine of a deployed daemon that bound its memory. */
    static final List<String> DEPLOYED_MEMORY =
            List.of("-Xmx40m", "-Xss256k", "-XX:+UseSerialGC", "-XX:+ExitOnOutOfMemoryError");

    private static final int HTTP_OK = 200;

    private final Path logFile;
    private final Process process;

    /** Starts a daemon without waiting for it. */
    DaemonProcess(Path dir, String settings, List<String> options) throws IOException {
        Path settingsFile = Files.writeString(dir.resolve("boot.conf"), settings);
        logFile = dir.resolve("log");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.godwithoist.edge.EdgeMain",
                        "0"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GODWITHOIST_NODE_FILE", settingsFile.toString());
        builder.redirectErrorStream(true).redirectOutput(logFile.toFile());
        process = builder.start();
    }

    Process process() {
        return process;
    }

    boolean logContains(String text) {
        return log().contains(text);
    }

    String log() {
        try {
            return Files.exists(logFile) ? Files.readString(logFile) : "";
        } catch (IOException e) {
            throw new AssertionError("failed to read the log", e);
        }
    }

    /** Returns the lines of the log that contain a text. */
    String logLines(String text) {
        return log().lines().filter(l -> l.contains(text)).collect(Collectors.joining("\n"));
    }

    /** Returns the last lines of the log, which name the reason if the process ended by itself. */
    String endOfLog() {
        List<String> lines = log().lines().toList();
        return String.join("\n", lines.subList(Math.max(0, lines.size() - 20), lines.size()));
    }

    /** Returns whether the process ends within a time. */
    boolean endsWithin(Duration time) throws InterruptedException {
        return process.waitFor(time.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Waits until the daemon has read its catalog and its targets. Before, it refuses requests that
     * have waited for a second, or for a fourth of their time.
     *
     * @param readyPort port of the readiness endpoint
     */
    void awaitReadiness(int readyPort) {
        Endpoint address = new Endpoint("127.0.0.1", readyPort);
        EdgeFixture.await(
                "readiness", () -> EdgeFixture.statusAt(address, "/readiness") == HTTP_OK);
    }

    /** Waits until the daemon has opened its listeners; it may not be ready yet. */
    void awaitStart() {
        EdgeFixture.await("start", () -> logContains("\"event\":\"start\""));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
