package org.godwithoist.acceptance.faults;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.godwithoist.core.task.Tasks;

/**
 * Load of requests with idempotency keys. For each key, two requests are sent concurrently and a
 * third one less than 400 ms later, each to a random daemon.
 */
final class KeyedLoad {
    private static final int REQUESTS_PER_KEY = 3;
    private static final int MAX_RETRY_DELAY_MS = 400;
    private static final Duration KEY_INTERVAL = Duration.ofMillis(60);
    private static final int OK = 200;

    private final FaultFleet fleet;
    private final Queue<Response> responses = new ConcurrentLinkedQueue<>();
    private final Queue<Thread> requestTasks = new ConcurrentLinkedQueue<>();
    private final Set<String> keys = new TreeSet<>();
    private final Random random = new Random(FaultFleet.SEED);
    private Thread task;
    private volatile boolean stopped;

    /**
     * One response to a keyed request.
     *
     * @param key idempotency key
     * @param request request id
     * @param daemon daemon that responded
     * @param status HTTP status
     * @param runState run state that the response claims
     * @param body response body
     * @param receivedAtMillis wall-clock time at which the response arrived, in milliseconds
     */
    record Response(
            String key,
            String request,
            String daemon,
            int status,
            String runState,
            String body,
            long receivedAtMillis) {}

    private KeyedLoad(FaultFleet fleet) {
        this.fleet = fleet;
    }

    static KeyedLoad start(FaultFleet fleet) {
        KeyedLoad load = new KeyedLoad(fleet);
        load.task = Tasks.start("keyed-requests", load::run);
        return load;
    }

    /** Stops sending and waits for the outstanding responses. */
    void stop() throws InterruptedException {
        stopped = true;
        task.join();
        for (Thread t : requestTasks) {
            t.join();
        }
    }

    /** Sends one more request with each key, all concurrently to one daemon. */
    void retryAll(String daemon) throws InterruptedException {
        List<Thread> retries = new ArrayList<>();
        for (String key : keys) {
            retries.add(Tasks.start(key, () -> send(key, key + "-last", daemon)));
        }
        for (Thread t : retries) {
            t.join();
        }
    }

    /** Returns the last rejection, for assertion messages. */
    String lastRejection() {
        return responses.stream()
                .filter(r -> r.runState().equals("not_run"))
                .reduce((a, b) -> b)
                .map(Response::toString)
                .orElse("none");
    }

    List<Response> responses() {
        return List.copyOf(responses);
    }

    int keyCount() {
        return keys.size();
    }

    /** Counts the keys that have a response with the run state {@code ran}. */
    long keysThatRan() {
        return responses.stream()
                .filter(r -> r.runState().equals("ran"))
                .map(Response::key)
                .distinct()
                .count();
    }

    private void run() {
        for (int i = 0; !stopped; i++) {
            String key = "key-" + FaultFleet.SEED + "-" + i;
            keys.add(key);
            for (int copy = 0; copy < REQUESTS_PER_KEY; copy++) {
                String id = key + "-" + copy;
                List<String> daemons = fleet.daemons();
                String daemon = daemons.get(random.nextInt(daemons.size()));
                Duration delay =
                        Duration.ofMillis(copy < 2 ? 0 : random.nextInt(MAX_RETRY_DELAY_MS));
                requestTasks.add(
                        Tasks.start(
                                id,
                                () -> {
                                    Tasks.sleep(delay);
                                    send(key, id, daemon);
                                }));
            }
            Tasks.sleep(KEY_INTERVAL);
        }
    }

    private void send(String key, String id, String daemon) {
        Map<String, String> headers =
                Map.of(
                        "Authorization",
                        "Bearer key-of-antwerp",
                        "Idempotency-Key",
                        key,
                        "X-Request-Id",
                        id,
                        "Content-Type",
                        "application/json");
        String body = new JsonObject().put("seat", key).encode();
        try {
            HttpResponse<String> response =
                    fleet.fleet().send("POST", daemon, "/services/tickets/book", body, headers);
            String state = response.headers().firstValue("X-Run-State").orElse("missing");
            long now = System.currentTimeMillis();
            responses.add(
                    new Response(
                            key, id, daemon, response.statusCode(), state, response.body(), now));
        } catch (IOException e) {
            // A broken connection carries no run state; the service's log shows what ran.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Compares each response with the service's own log and describes every contradiction. */
    List<String> violations(JsonArray log) {
        List<String> violations = new ArrayList<>();
        Map<String, List<JsonObject>> byKey = executions(log);
        byKey.forEach(
                (key, runs) -> {
                    if (runs.size() > 1) {
                        violations.add("key " + key + " ran " + runs.size() + " times: " + runs);
                    }
                });
        for (Response response : responses) {
            List<JsonObject> runs = byKey.getOrDefault(response.key(), List.of());
            boolean consistent =
                    switch (response.runState()) {
                        case "not_run" ->
                                runs.stream()
                                        .noneMatch(
                                                r ->
                                                        r.getString("request")
                                                                .startsWith(
                                                                        response.request() + "."));
                        case "ran" -> runs.size() == 1 && sameExecution(response, runs.get(0));
                        case "unknown" -> response.status() != OK;
                        default -> false;
                    };
            if (!consistent) {
                violations.add(
                        "response contradicts the service's log: "
                                + response
                                + ", logged executions "
                                + runs);
            }
        }
        return violations;
    }

    /** Counts {@code not_run} rejections whose key had already run for another request. */
    long rejectedAfterRun(JsonArray log) {
        Map<String, List<JsonObject>> byKey = executions(log);
        return responses.stream()
                .filter(r -> r.runState().equals("not_run"))
                .filter(
                        a ->
                                byKey.getOrDefault(a.key(), List.of()).stream()
                                        .anyMatch(r -> r.getLong("at") < a.receivedAtMillis()))
                .count();
    }

    /** Counts responses by run state. */
    Map<String, Long> countByRunState() {
        Map<String, Long> counts = new TreeMap<>();
        responses.forEach(r -> counts.merge(r.runState(), 1L, Long::sum));
        return counts;
    }

    private static boolean sameExecution(Response response, JsonObject run) {
        return response.status() != OK
                || new JsonObject(response.body())
                        .getInteger("execution")
                        .equals(run.getInteger("execution"));
    }

    private static Map<String, List<JsonObject>> executions(JsonArray log) {
        Map<String, List<JsonObject>> byKey = new HashMap<>();
        for (Object o : log) {
            JsonObject e = (JsonObject) o;
            if (e.getString("key") != null) {
                byKey.computeIfAbsent(e.getString("key"), k -> new ArrayList<>()).add(e);
            }
        }
        return byKey;
    }
}
