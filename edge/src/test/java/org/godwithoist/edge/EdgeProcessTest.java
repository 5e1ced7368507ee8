package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.EdgeSettingsText;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the handling of signals and the exit status of a daemon that runs as a separate process.
 */
final class EdgeProcessTest {
    private static final long EXIT_SECONDS = 15;
    private static final int EXIT_INVALID_SETTINGS = 2;

    @TempDir Path dir;
    private RowStoreStandin store;
    private Process daemon;

    @BeforeEach
    void startStore() throws IOException {
        store = new RowStoreStandin();
        store.put("op", "config", ConfigText.of(1, 5000));
    }

    @AfterEach
    void stopDaemonAndStore() throws IOException {
        daemon.destroyForcibly();
        store.close();
    }

    private void startDaemon(String settings) throws IOException {
        Path file = Files.writeString(dir.resolve("boot.conf"), settings);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder =
                new ProcessBuilder(
                        java,
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.godwithoist.edge.EdgeMain",
                        "0");
        builder.environment().put("GODWITHOIST_NODE_FILE", file.toString());
        builder.redirectErrorStream(true).redirectOutput(logFile().toFile());
        daemon = builder.start();
    }

    private Path logFile() {
        return dir.resolve("log");
    }

    private boolean logContains(String text) {
        try {
            return Files.exists(logFile()) && Files.readString(logFile()).contains(text);
        } catch (IOException e) {
            throw new AssertionError("failed to read the log", e);
        }
    }

    @Nested
    final class Signals {
        /** Guards against a daemon that exits on a hangup signal. */
        @Test
        void hangupReloadsTheSettings() throws Exception {
            startDaemon(EdgeSettingsText.of("edge-1", 0, 0, store.endpoint()));
            EdgeFixture.await("start", () -> logContains("\"event\":\"start\""));
            String pid = Long.toString(daemon.pid());
            assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            EdgeFixture.await("settings", () -> logContains("settings_read"));
            assertTrue(daemon.isAlive());
        }

        /** Guards against a shutdown that is not graceful or exceeds the grace period. */
        @Test
        void terminationEndsTheProcess() throws Exception {
            startDaemon(EdgeSettingsText.of("edge-1", 0, 0, store.endpoint()));
            EdgeFixture.await("start", () -> logContains("\"event\":\"start\""));
            daemon.destroy();
            assertTrue(daemon.waitFor(EXIT_SECONDS, TimeUnit.SECONDS));
            assertTrue(logContains("\"event\":\"stopped\""));
        }
    }

    @Nested
    final class InvalidSettings {
        /** Guards against a daemon that starts with incomplete settings. */
        @Test
        void allErrorsAreLoggedAndTheProcessExits() throws Exception {
            startDaemon("nodeName=edge-1\nno value\n");
            assertTrue(daemon.waitFor(EXIT_SECONDS, TimeUnit.SECONDS));
            assertEquals(EXIT_INVALID_SETTINGS, daemon.exitValue());
            assertTrue(logContains("line 2 is not of the form name=value"));
            assertTrue(logContains("platform.address is missing"));
        }
    }
}
