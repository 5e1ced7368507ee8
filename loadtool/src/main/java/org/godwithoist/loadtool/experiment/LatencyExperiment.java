package org.godwithoist.loadtool.experiment;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.load.ChatRequests;
import org.godwithoist.loadtool.load.FleetMap;
import org.godwithoist.loadtool.load.ResponseReader;

/**
 * Compares the time to the first token through a daemon with direct requests to the same engine.
 */
final class LatencyExperiment {
    private static final double MEDIAN = 50;
    private static final double P95 = 95;
    private static final double P99 = 99;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MEDIAN_BOUND_MS = 1;
    private static final double P99_BOUND_MS = 3;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Warm-up for the engines and for the JIT compilers of all processes. */
    private static final Duration WARM_UP = Duration.ofSeconds(20);

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final WorkspaceId WORKSPACE = new WorkspaceId("workspace-0");

    /** Number of chats; each is sent repeatedly, so that all prompts are cached on both paths. */
    private static final int CHAT_COUNT = 100;

    private static final int RESPONSE_WORDS = 4;
    private static final int MAX_CONNECTIONS = 64;

    private final ExperimentContext context;
    private final HttpClient client;

    /** Engine that last served each chat through the daemon; direct requests go to the same one. */
    private final Map<Long, FleetMap.TargetAddress> lastEngines = new ConcurrentHashMap<>();

    /** Path to the engine. */
    private enum Path {
        DAEMON,
        DIRECT;

        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** First-token times and failures of one path. */
    private static final class PathResults {
        private final Histogram nanos = new SynchronizedHistogram(SIGNIFICANT_DIGITS);
        private int failed;

        synchronized void addFailure() {
            failed++;
        }

        synchronized int failed() {
            return failed;
        }

        double millis(double percentile) {
            return nanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
        }
    }

    LatencyExperiment(ExperimentContext context) {
        this.context = context;
        client =
                context.vertx()
                        .createHttpClient(
                                new HttpClientOptions().setConnectTimeout(1_000),
                                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    Table run() {
        send(WARM_UP);
        Map<Path, PathResults> results = send(context.duration());
        Table table = new Table(List.of("way", "answers", "failed", "p50 ms", "p95 ms", "p99 ms"));
        for (Path path : Path.values()) {
            PathResults pathResults = results.get(path);
            table.add(
                    List.of(
                            path.label(),
                            Long.toString(pathResults.nanos.getTotalCount()),
                            Integer.toString(pathResults.failed()),
                            format(pathResults.millis(MEDIAN)),
                            format(pathResults.millis(P95)),
                            format(pathResults.millis(P99))));
        }
        checkBounds(results.get(Path.DIRECT), results.get(Path.DAEMON));
        return table;
    }

    private void checkBounds(PathResults direct, PathResults daemon) {
        double median = daemon.millis(MEDIAN) - direct.millis(MEDIAN);
        double p99 = daemon.millis(P99) - direct.millis(P99);
        context.guarantees()
                .check(
                        direct.failed() + daemon.failed() == 0,
                        "every call was answered: "
                                + (direct.failed() + daemon.failed())
                                + " failed");
        context.guarantees()
                .check(
                        median <= MEDIAN_BOUND_MS,
                        "at most 1 ms more at the median: " + format(median) + " ms");
        context.guarantees()
                .check(p99 <= P99_BOUND_MS, "at most 3 ms more at p99: " + format(p99) + " ms");
    }

    /**
     * Sends requests at a fixed rate, alternating between the paths, and waits for all responses.
     */
    private Map<Path, PathResults> send(Duration duration) {
        Map<Path, PathResults> results = new EnumMap<>(Path.class);
        for (Path path : Path.values()) {
            results.put(path, new PathResults());
        }
        List<Thread> requests = new ArrayList<>();
        long count = duration.toSeconds() * context.rate();
        long interval = Duration.ofSeconds(1).toNanos() / context.rate();
        long start = System.nanoTime();
        for (long i = 0; i < count; i++) {
            Tasks.sleep(Duration.ofNanos(start + i * interval - System.nanoTime()));
            Path path = Path.values()[(int) (i % Path.values().length)];
            long chatNumber = i / Path.values().length % CHAT_COUNT;
            requests.add(
                    Tasks.start(
                            "request-" + i,
                            () -> sendRequest(path, chatNumber, results.get(path))));
        }
        for (Thread t : requests) {
            try {
                t.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return results;
    }

    private void sendRequest(Path path, long chatNumber, PathResults results) {
        ChatId chat = new ChatId("latency-" + path.label() + "-" + chatNumber);
        RequestId id = new RequestId(UUID.randomUUID().toString());
        String key = context.fleet().keys().get(WORKSPACE);
        RequestOptions options =
                ChatRequests.to(endpoint(path, chatNumber), key, chat, id)
                        .putHeader("X-Workspace", WORKSPACE.value())
                        .putHeader("X-Priority", Priority.INTERACTIVE.wireName());
        JsonArray messages =
                new JsonArray()
                        .add(
                                new JsonObject()
                                        .put("role", "user")
                                        .put("content", "question of chat " + chatNumber));
        Buffer body = ChatRequests.body(messages, RESPONSE_WORDS).toBuffer();
        ResponseReader reader = new ResponseReader(text -> {});
        long start = System.nanoTime();
        try {
            Await.result(
                    client.request(options).compose(r -> r.send(body)).compose(r -> reader.read(r)),
                    TIMEOUT);
        } catch (RuntimeException e) {
            results.addFailure();
            return;
        }
        if (!reader.done()) {
            results.addFailure();
            return;
        }
        if (path == Path.DAEMON) {
            context.fleet().engines().stream()
                    .filter(e -> e.id().value().equals(reader.engine()))
                    .forEach(e -> lastEngines.put(chatNumber, e));
        }
        results.nanos.recordValue(reader.firstTokenNanos() - start);
    }

    private Endpoint endpoint(Path path, long chatNumber) {
        return path == Path.DAEMON
                ? context.fleet().daemons().getFirst().callerEndpoint()
                : lastEngines
                        .getOrDefault(chatNumber, context.fleet().engines().getFirst())
                        .endpoint();
    }

    private static String format(double millis) {
        return String.format(Locale.ROOT, "%.2f", millis);
    }
}
