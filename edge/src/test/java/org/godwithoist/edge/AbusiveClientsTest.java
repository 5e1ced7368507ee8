package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.client.Crowd;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.EdgeSettingsText;
import org.godwithoist.standins.edge.LargeResponseRunner;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Scenario: a daemon with a small heap and a crowd of clients that abuse it. */
@Tag("isolated")
final class AbusiveClientsTest {
    /**
     * Memory options of the daemon. The heap is smaller than the deployed one, and with it all
     * limits that derive from its size, so that a small crowd reaches them. As deployed, it has
     * only the compiler that needs little memory; the other one takes more than three heaps while
     * it compiles what the crowd makes busy.
     */
    private static final List<String> MEMORY =
            List.of(
                    "-Xmx24m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:+ExitOnOutOfMemoryError");

    private static final int CLIENTS = 600;

    /** The smallest host has 330 MB. */
    private static final long MAX_RESIDENT_KB = 150_000;

    /** The smallest limit of descriptors is 4,100 with a heap of 40 MB. */
    private static final int MAX_DESCRIPTORS = 1500;

    @TempDir Path dir;
    private final int port = LoopbackPorts.next();
    private final int readyPort = LoopbackPorts.next();
    private final List<LargeResponseRunner> targets = new ArrayList<>();
    private RowStoreStandin store;
    private DaemonProcess daemon;

    @BeforeEach
    void start() throws IOException {
        store = new RowStoreStandin();
        store.put("op", "config", ConfigText.of(1, 30_000));
        addTarget("desk", "desk");
        addTarget("engine", "models");
        daemon =
                new DaemonProcess(
                        dir,
                        EdgeSettingsText.of("edge-1", port, readyPort, store.endpoint()),
                        MEMORY);
        daemon.awaitReadiness(readyPort);
    }

    private void addTarget(String id, String service) throws IOException {
        LargeResponseRunner target = new LargeResponseRunner(id, service);
        targets.add(target);
        store.put("servers", id, target.entry());
    }

    @AfterEach
    void stop() throws IOException {
        daemon.close();
        for (LargeResponseRunner t : targets) {
            t.close();
        }
        store.close();
    }

    @Nested
    final class CrowdOfOneKind {
        /** Time for which the crowd acts before the checks; longer than the header timeout. */
        private static final Duration CROWD_TIME = Duration.ofSeconds(5);

        /**
         * Guards against a daemon that runs out of memory or descriptors, or refuses all ordinary
         * requests, because of what it holds for clients that send or read slowly, or that send
         * what costs much to receive.
         */
        @ParameterizedTest
        @EnumSource
        void daemonLivesAndAnswersAnOrdinaryRequest(AbusiveClient client) throws Exception {
            allowBodies(client.maxBodyBytes());
            try (Crowd crowd = Crowd.start(client, CLIENTS, port)) {
                boolean allArrived = crowd.awaitArrival();
                checkProcess();
                assertTrue(allArrived, "the daemon does not accept connections");
                Tasks.sleep(CROWD_TIME);
                checkProcess();
                new OrdinaryCaller(port).awaitAnswer();
                checkProcess();
            }
        }
    }

    /** Load: a crowd that follows another one, whose requests the targets may still serve. */
    @Nested
    final class CrowdAfterACrowd {
        /** More clients than fit into the daemon by a factor of three. */
        private static final int MANY_CLIENTS = 1500;

        private static final Duration CROWD_TIME = Duration.ofSeconds(7);
        private static final Duration QUIET_TIME = Duration.ofMillis(2500);

        /** Guards against a daemon that does not count what the first crowd has left behind. */
        @Test
        void daemonLivesAndAnswersAnOrdinaryRequest() throws Exception {
            act(AbusiveClient.SLOW_READER_OF_STREAM);
            Tasks.sleep(QUIET_TIME);
            act(AbusiveClient.PROMPT_SHORT_OF_ITS_END);
            new OrdinaryCaller(port).awaitAnswer();
            checkProcess();
        }

        private void act(AbusiveClient client) throws Exception {
            try (Crowd crowd = Crowd.start(client, MANY_CLIENTS, port)) {
                boolean allArrived = crowd.awaitArrival();
                checkProcess();
                assertTrue(allArrived, "the daemon does not accept connections");
                Tasks.sleep(CROWD_TIME);
                checkProcess();
            }
        }
    }

    /** Load: clients that keep the connections of the status ports. */
    @Nested
    final class CrowdAtTheStatusPorts {
        private static final int STATUS_CLIENTS = 100;
        private static final Duration CROWD_TIME = Duration.ofSeconds(3);

        /** Guards against a daemon that gets no callers because its platform finds it not ready. */
        @ParameterizedTest
        @EnumSource
        void daemonLivesAndSaysThatItIsReady(AbusiveStatusClient client) throws Exception {
            try (Crowd crowd = Crowd.start(client, STATUS_CLIENTS, readyPort)) {
                boolean allArrived = crowd.awaitArrival();
                checkProcess();
                assertTrue(allArrived, "the daemon does not accept connections");
                Tasks.sleep(CROWD_TIME);
                checkProcess();
                daemon.awaitReadiness(readyPort);
                new OrdinaryCaller(port).awaitAnswer();
                checkProcess();
            }
        }
    }

    private void allowBodies(int maxBytes) {
        if (maxBytes != ConfigText.MAX_BODY_BYTES) {
            store.put("op", "config", ConfigText.of(2, 30_000, maxBytes));
            EdgeFixture.await("the limit", () -> daemon.logContains("\"version\":2"));
        }
    }

    private void checkProcess() throws IOException {
        assertTrue(daemon.process().isAlive(), () -> "the daemon ended: " + daemon.endOfLog());
        long residentKb = residentKb();
        int descriptors = descriptors();
        assertTrue(residentKb <= MAX_RESIDENT_KB, () -> "resident memory: " + residentKb);
        assertTrue(descriptors <= MAX_DESCRIPTORS, () -> "descriptors: " + descriptors);
    }

    private long residentKb() throws IOException {
        return Files.readAllLines(procFile("status")).stream()
                .filter(l -> l.startsWith("VmRSS:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    private int descriptors() throws IOException {
        try (Stream<Path> files = Files.list(procFile("fd"))) {
            return (int) files.count();
        }
    }

    private Path procFile(String name) {
        return Path.of("/proc", Long.toString(daemon.process().pid()), name);
    }

    /** A caller with a request within all limits. It repeats a request that was not run. */
    private static final class OrdinaryCaller {
        private static final int MAX_REQUESTS = 20;
        private static final int TIMEOUT_MS = 5000;
        private static final Duration RETRY_DELAY = Duration.ofMillis(500);
        private static final int BODY_BYTES = 90_000;

        private final int port;
        private final List<String> results = new ArrayList<>();

        OrdinaryCaller(int port) {
            this.port = port;
        }

        /** Repeats the request until it is answered. */
        void awaitAnswer() {
            for (int i = 0; i < MAX_REQUESTS; i++) {
                String result = send("ordinary-" + i);
                results.add(result);
                if (result.contains(LargeResponseRunner.SMALL_BODY)) {
                    return;
                }
                Tasks.sleep(RETRY_DELAY);
            }
            throw new AssertionError("no ordinary request was answered: " + results);
        }

        private String send(String id) {
            try (Socket socket = new Socket()) {
                socket.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MS);
                socket.setSoTimeout(TIMEOUT_MS);
                String text =
                        "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n"
                                        .formatted(
                                                ConfigText.BOOKING,
                                                ConfigText.HOST,
                                                ConfigText.API_KEY)
                                + "X-Godwithoist-Attempt-Id: %s\r\nX-Godwithoist-Deadline-Ms: 3000\r\n"
                                        .formatted(id)
                                + "Connection: close\r\nContent-Length: %d\r\n\r\n"
                                        .formatted(BODY_BYTES)
                                + "x".repeat(BODY_BYTES);
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                byte[] response = socket.getInputStream().readAllBytes();
                String all = new String(response, StandardCharsets.ISO_8859_1);
                return all.lines().findFirst().orElse("") + " " + all.lines().toList().getLast();
            } catch (IOException e) {
                return String.valueOf(e.getMessage());
            }
        }
    }
}
