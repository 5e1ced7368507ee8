package org.godwithoist.edge;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.edge.ClientStandin;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.EdgeSettingsText;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.godwithoist.standins.edge.RunnerStandin;

/** An edge daemon with stand-ins for the store and for the targets of two services. */
final class EdgeFixture implements AutoCloseable {
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(5);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
    private static final int MAX_POLLS = 500;
    private static final int EVENTS_PER_STREAM = 6;

    /** Heap of a deployed daemon. */
    private static final long MAX_HEAP_BYTES = 40L << 20;

    final RowStoreStandin store = new RowStoreStandin();
    final List<RunnerStandin> engines = new ArrayList<>();
    final List<RunnerStandin> desks = new ArrayList<>();
    final Path settings = Files.createTempFile("edge", ".conf");
    final ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
    final ByteArrayOutputStream otherLogBytes = new ByteArrayOutputStream();
    private final AtomicInteger ids = new AtomicInteger();
    final Edge edge;

    /** Starts a daemon and waits until it has read its catalog and its targets. */
    EdgeFixture(int engineCount, int deskCount) throws IOException {
        store.put("op", "config", ConfigText.of(1, 5000));
        for (int i = 0; i < engineCount; i++) {
            engines.add(
                    new RunnerStandin("engine-" + i, "models", EVENTS_PER_STREAM, EVENT_INTERVAL));
        }
        for (int i = 0; i < deskCount; i++) {
            desks.add(new RunnerStandin("desk-" + i, "desk", 0, EVENT_INTERVAL));
        }
        engines.forEach(this::register);
        desks.forEach(this::register);
        Files.writeString(settings, EdgeSettingsText.of("edge-1", 0, 0, store.endpoint()));
        EventLog log = EventLog.start(logBytes);
        edge =
                new Edge(
                        new SettingsFile(settings, log),
                        log,
                        MAX_HEAP_BYTES,
                        new SplittableRandom(7));
        edge.start(new Endpoint("127.0.0.1", 0));
        await("readiness", () -> status(edge.readinessAddress(), "/readiness") == 200);
    }

    /** Starts a second daemon without waiting for its readiness. */
    Edge startAnother() throws IOException {
        return startAnother("edge-2");
    }

    /** Starts a further daemon without waiting for its readiness. */
    Edge startAnother(String host) throws IOException {
        Path file = Files.createTempFile("edge", ".conf");
        Files.writeString(file, EdgeSettingsText.of(host, 0, 0, store.endpoint()));
        EventLog log = EventLog.start(otherLogBytes);
        Edge second =
                new Edge(new SettingsFile(file, log), log, MAX_HEAP_BYTES, new SplittableRandom(8));
        second.start(new Endpoint("127.0.0.1", 0));
        Files.delete(file);
        return second;
    }

    void register(RunnerStandin runner) {
        store.put("servers", runner.id(), runner.entry("zone-a", "ready"));
    }

    ClientStandin client() throws IOException {
        return new ClientStandin(edge.callerAddress());
    }

    /** Sends a request on a new connection and returns the response. */
    ClientStandin.Response send(String method, String prefix) throws IOException {
        try (ClientStandin client = client()) {
            return send(client, method, prefix);
        }
    }

    ClientStandin.Response send(ClientStandin client, String method, String prefix)
            throws IOException {
        client.send(method, prefix + "x", validFields(), method.equals("POST") ? "text" : "");
        return client.receive();
    }

    /** Returns the header fields of a valid request with a unique id. */
    Map<String, String> validFields() {
        Map<String, String> fields = new TreeMap<>();
        fields.put("Host", ConfigText.HOST);
        fields.put("X-Godwithoist-Attempt-Id", "call-" + ids.incrementAndGet());
        fields.put("X-Api-Key", ConfigText.API_KEY);
        fields.put("X-Godwithoist-Deadline-Ms", "4000");
        fields.put("X-Godwithoist-Prompt-Prefix", "a1:500,b2:1000,c3:30");
        return fields;
    }

    int status(Endpoint address, String path) {
        return statusAt(address, path);
    }

    /** Returns the status of a page of a daemon; 0 if it does not respond. */
    static int statusAt(Endpoint address, String path) {
        try (ClientStandin client = new ClientStandin(address)) {
            client.send("GET", path, Map.of("Host", "daemon"), "");
            return client.receive().status();
        } catch (IOException e) {
            return 0;
        }
    }

    int runCount(List<RunnerStandin> runners) {
        return runners.stream().mapToInt(r -> r.executedRequests().size()).sum();
    }

    String log() {
        return logBytes.toString(StandardCharsets.UTF_8);
    }

    static void await(String what, BooleanSupplier condition) {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            Tasks.sleep(POLL_INTERVAL);
        }
        throw new AssertionError(what + " was not observed within 5 s");
    }

    @Override
    public void close() throws IOException {
        edge.close();
        for (RunnerStandin r : engines) {
            r.close();
        }
        for (RunnerStandin r : desks) {
            r.close();
        }
        store.close();
        Files.deleteIfExists(settings);
    }
}
