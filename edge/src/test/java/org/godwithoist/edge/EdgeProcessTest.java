package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.edge.ClientStandin;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.EdgeSettingsText;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.godwithoist.standins.edge.RunnerFault;
import org.godwithoist.standins.edge.RunnerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the handling of signals and the exit status of a daemon that runs as a separate process.
 */
final class EdgeProcessTest {
    private static final long EXIT_SECONDS = 15;
    private static final int EXIT_INVALID_SETTINGS = 2;

    @TempDir Path dir;
    private RowStoreStandin store;
    private DaemonProcess daemon;

    @BeforeEach
    void startStore() throws IOException {
        store = new RowStoreStandin();
        store.put("op", "config", ConfigText.of(1, 5000));
    }

    @AfterEach
    void stopDaemonAndStore() throws IOException {
        daemon.close();
        store.close();
    }

    private void startDaemon(String settings) throws IOException {
        startDaemon(settings, List.of("-Xmx64m"));
    }

    private void startDaemon(String settings, List<String> options) throws IOException {
        daemon = new DaemonProcess(dir, settings, options);
    }

    private static Map<String, String> requestFields(String id) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("Host", ConfigText.HOST);
        fields.put("X-Godwithoist-Attempt-Id", id);
        fields.put("X-Api-Key", ConfigText.API_KEY);
        fields.put("X-Godwithoist-Deadline-Ms", "4000");
        return fields;
    }

    @Nested
    final class Signals {
        /** Guards against a daemon that exits on a hangup signal. */
        @Test
        void hangupReloadsTheSettings() throws Exception {
            startDaemon(EdgeSettingsText.of("edge-1", 0, 0, store.endpoint()));
            daemon.awaitStart();
            String pid = Long.toString(daemon.process().pid());
            assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            EdgeFixture.await("settings", () -> daemon.logContains("settings_read"));
            assertTrue(daemon.process().isAlive());
        }

        /** Guards against a shutdown that is not graceful or exceeds the grace period. */
        @Test
        void terminationEndsTheProcess() throws Exception {
            startDaemon(EdgeSettingsText.of("edge-1", 0, 0, store.endpoint()));
            daemon.awaitStart();
            daemon.process().destroy();
            assertTrue(daemon.process().waitFor(EXIT_SECONDS, TimeUnit.SECONDS));
            assertTrue(daemon.logContains("\"event\":\"stopped\""));
        }
    }

    @Nested
    final class EndOfProcess {
        private static final Duration CALL_INTERVAL = Duration.ofMillis(2);

        /** Time after the signal from which callers connect, before the end of the process. */
        private static final Duration CALLS_START = Duration.ofSeconds(2);

        /** Requests that may cross the close of the listener, as their callers connect. */
        private static final int MAX_CROSSING = 5;

        private static final Pattern STOPPED_LINE =
                Pattern.compile("\"at_ms\":(\\d+),\"event\":\"stopped\"");

        /** A request that was sent on a connection that ended without an answer. */
        private record Unanswered(String id, long sentAtMs, String reason) {}

        private final int port = LoopbackPorts.next();
        private final List<Unanswered> unanswered = Collections.synchronizedList(new ArrayList<>());

        /**
         * Guards against a process that accepts connections until its virtual machine has ended,
         * which takes 0.1 to 0.4 s after the last answer, and ends without an answer to them.
         */
        @Test
        void callersAreAnsweredOrNotAccepted() throws Exception {
            String settings = EdgeSettingsText.of("edge-1", port, 0, store.endpoint());
            startDaemon(settings.replace("graceS=8", "graceS=3"), DaemonProcess.DEPLOYED_MEMORY);
            daemon.awaitStart();
            daemon.process().destroy();
            Tasks.sleep(CALLS_START);
            List<Thread> callers = new ArrayList<>();
            while (daemon.process().isAlive()) {
                String id = "call-" + callers.size();
                callers.add(Tasks.start(id, () -> call(id)));
                Tasks.sleep(CALL_INTERVAL);
            }
            for (Thread c : callers) {
                c.join();
            }
            assertEquals(
                    List.of(),
                    unanswered.stream().filter(u -> u.sentAtMs() > stoppedAtMs()).toList(),
                    "sent after the end of the service");
            assertTrue(unanswered.size() <= MAX_CROSSING, "without an answer: " + unanswered);
        }

        private long stoppedAtMs() {
            Matcher time = STOPPED_LINE.matcher(daemon.log());
            assertTrue(time.find(), "the daemon has not ended its service");
            return Long.parseLong(time.group(1));
        }

        private void call(String id) {
            try (ClientStandin client = new ClientStandin(new Endpoint("127.0.0.1", port))) {
                receiveAnswer(client, id);
            } catch (IOException e) {
                // The connection was refused, so that the caller turns to another daemon.
                return;
            }
        }

        private void receiveAnswer(ClientStandin client, String id) {
            long sentAtMs = System.currentTimeMillis();
            try {
                client.send("GET", ConfigText.STATUS + "x", requestFields(id), "");
                client.receive();
            } catch (IOException e) {
                unanswered.add(new Unanswered(id, sentAtMs, e.getMessage()));
            }
        }
    }

    @Nested
    final class EndlessBytes {
        private static final int FAULTY_TARGETS = 4;
        private static final int CALLERS = 120;
        private static final int MIN_RUNS = 100;
        private static final int OTHER_REQUESTS = 20;

        private final int port = LoopbackPorts.next();
        private final int readyPort = LoopbackPorts.next();
        private final List<RunnerStandin> runners = new ArrayList<>();
        private final List<ClientStandin> clients = new ArrayList<>();

        @AfterEach
        void close() throws IOException {
            clients.forEach(ClientStandin::close);
            for (RunnerStandin r : runners) {
                r.close();
            }
        }

        /**
         * Guards against a daemon that keeps what faulty targets send, runs out of memory and ends
         * with the requests of all other callers.
         */
        @ParameterizedTest
        @EnumSource(names = {"ENDLESS_HEAD", "ENDLESS_BODY"})
        void faultyTargetsCostOnlyTheirOwnRequests(RunnerFault fault) throws Exception {
            addRunner("engine", "models", RunnerFault.NONE);
            for (int i = 0; i < FAULTY_TARGETS; i++) {
                addRunner("desk-" + i, "desk", fault);
            }
            startDaemon(
                    EdgeSettingsText.of("edge-1", port, readyPort, store.endpoint()),
                    DaemonProcess.DEPLOYED_MEMORY);
            daemon.awaitReadiness(readyPort);
            for (int i = 0; i < CALLERS; i++) {
                send(ConfigText.BOOKING, "booking-" + i);
            }
            EdgeFixture.await("requests at the faulty targets", () -> runsAt("desk") >= MIN_RUNS);
            for (int i = 0; i < OTHER_REQUESTS; i++) {
                ClientStandin client = send(ConfigText.NON_RESUMABLE, "stream-" + i);
                assertEquals(200, client.receive().status());
            }
            assertTrue(daemon.process().isAlive(), "the daemon has ended");
        }

        private int runsAt(String idPrefix) {
            return runners.stream()
                    .filter(r -> r.id().startsWith(idPrefix))
                    .mapToInt(r -> r.executedRequests().size())
                    .sum();
        }

        private void addRunner(String id, String service, RunnerFault fault) throws IOException {
            RunnerStandin runner = new RunnerStandin(id, service, 6, Duration.ofMillis(5));
            runner.setFault(fault);
            runners.add(runner);
            store.put("servers", id, runner.entry("zone-a", "ready"));
        }

        private ClientStandin send(String prefix, String id) throws IOException {
            ClientStandin client = new ClientStandin(new Endpoint("127.0.0.1", port));
            clients.add(client);
            client.send("POST", prefix + "x", requestFields(id), "text");
            return client;
        }
    }

    @Nested
    final class MoreCallersThanTheMemoryHolds {
        private static final int STREAMS = 1200;
        private static final int EVENTS = 40;
        private static final int MIN_SERVED = 300;
        private static final int IDLE_CONNECTIONS = 3500;
        private static final int OTHER_REQUESTS = 20;
        private static final Duration EVENT_INTERVAL = Duration.ofMillis(150);
        private static final Duration SEND_INTERVAL = Duration.ofMillis(1);

        private final int port = LoopbackPorts.next();
        private final int readyPort = LoopbackPorts.next();
        private final Queue<Socket> idle = new ConcurrentLinkedQueue<>();
        private final Queue<String> refusals = new ConcurrentLinkedQueue<>();
        private RunnerStandin engine;

        @BeforeEach
        void start() throws IOException {
            store.put("op", "config", ConfigText.of(1, 15_000));
            engine = new RunnerStandin("engine", "models", EVENTS, EVENT_INTERVAL);
            store.put("servers", engine.id(), engine.entry("zone-a", "ready"));
            startDaemon(
                    EdgeSettingsText.of("edge-1", port, readyPort, store.endpoint()),
                    DaemonProcess.DEPLOYED_MEMORY);
            daemon.awaitReadiness(readyPort);
        }

        @AfterEach
        void close() throws IOException {
            for (Socket s : idle) {
                s.close();
            }
            engine.close();
        }

        /**
         * Guards against a daemon that takes more requests than its heap holds, runs out of memory
         * and loses all of them.
         */
        @Test
        void requestsBeyondTheMemoryAreRefusedAsNotRun() throws Exception {
            Map<String, String> results = sendAll(STREAMS);
            assertTrue(daemon.process().isAlive(), () -> "the daemon has ended: " + daemon.log());
            Map<String, Long> counts =
                    results.values().stream()
                            .collect(
                                    Collectors.groupingBy(
                                            Function.identity(), Collectors.counting()));
            assertTrue(
                    Set.of("complete", "not run").containsAll(counts.keySet()), counts::toString);
            assertTrue(counts.getOrDefault("complete", 0L) >= MIN_SERVED, counts::toString);
            engine.executedRequests()
                    .forEach(r -> assertEquals("complete", results.get(r.attemptId())));
        }

        /**
         * Guards against a daemon that keeps more open connections than its heap holds, runs out of
         * memory and loses the requests of other callers.
         */
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void idleConnectionsCostNoOtherRequests(boolean atReadiness) throws Exception {
            for (int i = 0; i < IDLE_CONNECTIONS; i++) {
                int at = atReadiness ? readyPort : port;
                idle.add(new Socket(InetAddress.getLoopbackAddress(), at));
            }
            Map<String, String> results = sendAll(OTHER_REQUESTS);
            assertTrue(daemon.process().isAlive(), () -> "the daemon has ended: " + daemon.log());
            assertEquals(
                    Set.of("complete"), Set.copyOf(results.values()), () -> "refused: " + refusals);
        }

        /** Sends requests one after the other and returns their results by id. */
        private Map<String, String> sendAll(int count) throws InterruptedException {
            Map<String, String> results = new ConcurrentHashMap<>();
            CountDownLatch done = new CountDownLatch(count);
            for (int i = 0; i < count; i++) {
                String id = "stream-" + i;
                Tasks.start(
                        id,
                        () -> {
                            results.put(id, result(id));
                            done.countDown();
                        });
                Tasks.sleep(SEND_INTERVAL);
            }
            done.await();
            return results;
        }

        private String result(String id) {
            Map<String, String> fields = new TreeMap<>();
            fields.put("Host", ConfigText.HOST);
            fields.put("X-Godwithoist-Attempt-Id", id);
            fields.put("X-Api-Key", ConfigText.API_KEY);
            fields.put("X-Godwithoist-Deadline-Ms", "14000");
            try (ClientStandin client = new ClientStandin(new Endpoint("127.0.0.1", port))) {
                client.send("POST", ConfigText.NON_RESUMABLE + "x", fields, "x".repeat(800));
                ClientStandin.Response response = client.receive();
                if (response.status() == 503 && !response.field("Retry-After").isEmpty()) {
                    refusals.add(response.body().strip());
                    return "not run";
                }
                boolean complete = response.body().contains("data: piece " + EVENTS + "\n");
                return complete ? "complete" : "status " + response.status();
            } catch (IOException e) {
                return String.valueOf(e.getMessage());
            }
        }
    }

    @Nested
    final class InvalidSettings {
        /** Guards against a daemon that starts with incomplete settings. */
        @Test
        void allErrorsAreLoggedAndTheProcessExits() throws Exception {
            startDaemon("nodeName=edge-1\nno value\n");
            assertTrue(daemon.process().waitFor(EXIT_SECONDS, TimeUnit.SECONDS));
            assertEquals(EXIT_INVALID_SETTINGS, daemon.process().exitValue());
            assertTrue(daemon.logContains("line 2 is not of the form name=value"));
            assertTrue(daemon.logContains("platform.address is missing"));
        }
    }
}
