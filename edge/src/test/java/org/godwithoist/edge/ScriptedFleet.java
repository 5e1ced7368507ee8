package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.edge.ClientStandin;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.EdgeSettingsText;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.godwithoist.standins.edge.ScriptedResponse;
import org.godwithoist.standins.edge.ScriptedResponse.Copy;
import org.godwithoist.standins.edge.ScriptedResponse.Cut;
import org.godwithoist.standins.edge.ScriptedResponse.Framing;
import org.godwithoist.standins.edge.ScriptedResponse.Moment;
import org.godwithoist.standins.edge.ScriptedRunner;

/**
 * A daemon in a process of its own with the deployed memory, three scripted targets of each
 * service, and callers that check what they are told. Each run has another body of another length.
 */
final class ScriptedFleet implements AutoCloseable {
    private static final String ATTEMPT_ID = "X-Godwithoist-Attempt-Id";
    private static final String EVENT_ID = "id: ";
    private static final int TARGETS = 3;
    private static final int FIRST_REQUESTS = 12;
    private static final Duration FIRST_REQUESTS_TIME = Duration.ofSeconds(60);

    /** A route, by what it permits. */
    enum RouteKind {
        BOOKING("POST", ConfigText.BOOKING, true, false),
        READ("GET", ConfigText.STATUS, false, false),
        RESUMABLE_STREAM("POST", ConfigText.RESUMABLE, false, true),
        STREAM("POST", ConfigText.NON_RESUMABLE, true, true);

        final String method;
        final String prefix;
        final boolean runsOnce;
        final boolean streams;

        RouteKind(String method, String prefix, boolean runsOnce, boolean streams) {
            this.method = method;
            this.prefix = prefix;
            this.runsOnce = runsOnce;
            this.streams = streams;
        }
    }

    /**
     * What a caller got.
     *
     * @param status status of the response; 0 if it was not complete
     * @param endStated whether a length or a last chunk has told the caller where the body ends
     */
    record Result(
            RouteKind kind,
            ScriptedResponse script,
            String id,
            int status,
            boolean endStated,
            String body) {
        private static Result broken(
                RouteKind kind, ScriptedResponse script, String id, IOException cause) {
            return new Result(kind, script, id, 0, false, String.valueOf(cause.getMessage()));
        }

        @Override
        public String toString() {
            return kind + " " + script.path() + " " + id + ": " + status;
        }
    }

    private final int port = LoopbackPorts.next();
    private final int readyPort = LoopbackPorts.next();
    private final AtomicInteger ids = new AtomicInteger();
    private final List<ScriptedRunner> targets = new ArrayList<>();
    private final RowStoreStandin store = new RowStoreStandin();
    private final DaemonProcess daemon;

    /**
     * Starts the fleet.
     *
     * @param dir directory for the files of the daemon
     */
    ScriptedFleet(Path dir) throws IOException {
        store.put("op", "config", ConfigText.of(1, 5000));
        for (int i = 0; i < TARGETS; i++) {
            add(new ScriptedRunner("desk-" + i, "desk", false, i));
            add(new ScriptedRunner("engine-" + i, "models", true, i));
        }
        daemon =
                new DaemonProcess(
                        dir,
                        EdgeSettingsText.of("edge-1", port, readyPort, store.endpoint()),
                        DaemonProcess.DEPLOYED_MEMORY);
        daemon.awaitReadiness(readyPort);
    }

    @Override
    public void close() throws IOException {
        daemon.close();
        for (ScriptedRunner t : targets) {
            t.close();
        }
        store.close();
    }

    /**
     * Waits until the daemon knows that it is the only one. Before, it has a small part of the
     * retry budget of a fleet of assumed size.
     */
    void awaitWholeRetryBudget() {
        EdgeFixture.await("fleet list", () -> daemon.logContains("\"event\":\"fleet\""));
    }

    /** Returns whether the log of the daemon contains a text. */
    boolean logContains(String text) {
        return daemon.logContains(text);
    }

    /** Ends the daemon without a warning. */
    void killDaemon() {
        daemon.process().destroyForcibly();
    }

    /** Asks the daemon to end. */
    void stopDaemon() {
        daemon.process().destroy();
    }

    private void add(ScriptedRunner target) {
        targets.add(target);
        store.put("servers", target.id(), target.entry());
    }

    /** Returns the targets of both services. */
    List<ScriptedRunner> targets() {
        return targets;
    }

    private Result send(ClientStandin client, RouteKind kind, ScriptedResponse script) {
        String id = "call-" + ids.incrementAndGet();
        Map<String, String> fields = new TreeMap<>();
        fields.put("Host", ConfigText.HOST);
        fields.put(ATTEMPT_ID, id);
        fields.put("X-Api-Key", ConfigText.API_KEY);
        fields.put("X-Godwithoist-Deadline-Ms", "4000");
        if (kind.streams) {
            fields.put("X-Godwithoist-Prompt-Prefix", "p" + id.hashCode() % 16 + ":500,c3:30");
        }
        try {
            String path = kind.prefix + script.path();
            client.send(kind.method, path, fields, kind.method.equals("POST") ? "text" : "");
            ClientStandin.Response response = client.receive();
            assertTrue(
                    response.status() != 200 || id.equals(response.field(ATTEMPT_ID)),
                    () -> "the response to " + id + " is that of another request: " + response);
            return new Result(
                    kind, script, id, response.status(), statesEnd(response), response.body());
        } catch (IOException e) {
            return Result.broken(kind, script, id, e);
        }
    }

    private static boolean statesEnd(ClientStandin.Response response) {
        return !response.field("Content-Length").isEmpty()
                || !response.field("Transfer-Encoding").isEmpty();
    }

    /** Sends a request on a connection of its own. */
    Result send(RouteKind kind, ScriptedResponse script) {
        try (ClientStandin client = new ClientStandin(new Endpoint("127.0.0.1", port))) {
            return send(client, kind, script);
        } catch (IOException e) {
            return Result.broken(kind, script, "", e);
        }
    }

    /** Makes all targets of each service sound but one. */
    void keepOneFaultyTarget() {
        for (RouteKind kind : List.of(RouteKind.READ, RouteKind.STREAM)) {
            targetsOf(kind).skip(1).forEach(ScriptedRunner::becomeSound);
        }
    }

    /** Makes all targets of each service silent but one. */
    void keepOneTargetThatResponds() {
        for (RouteKind kind : List.of(RouteKind.READ, RouteKind.STREAM)) {
            targetsOf(kind).skip(1).forEach(ScriptedRunner::becomeSilent);
        }
    }

    private Stream<ScriptedRunner> targetsOf(RouteKind kind) {
        return targets.stream().filter(t -> t.streams() == kind.streams);
    }

    /** Returns whether each target of a route has sent a number of copies. */
    boolean allHaveSentCopies(RouteKind kind, int copies) {
        return targetsOf(kind).allMatch(t -> t.copies() >= copies);
    }

    /**
     * Sends sound requests until each target of a route has run some. It takes as long as one that
     * responded slowly at first ranks behind the others.
     */
    void sendSoundRequestsToAll(RouteKind kind) {
        long start = System.nanoTime();
        while (!targetsOf(kind).allMatch(t -> t.runs() >= FIRST_REQUESTS)) {
            assertTrue(
                    System.nanoTime() - start < FIRST_REQUESTS_TIME.toNanos(),
                    () -> "a target was not asked: " + targets);
            sendSoundRequests(kind);
        }
    }

    /** Makes the daemon know that its targets state the ends of sound responses. */
    void sendSoundRequests(RouteKind kind) {
        ScriptedResponse sound =
                new ScriptedResponse(Framing.LENGTH, Cut.NONE, Copy.NONE, Moment.AT_ONCE, 200);
        for (int i = 0; i < FIRST_REQUESTS; i++) {
            Result result = send(kind, sound);
            assertEquals(200, result.status(), result::toString);
        }
    }

    /**
     * Sends requests with several callers.
     *
     * @param rounds number of requests for each kind of response
     */
    List<Result> sendAll(
            RouteKind kind, Collection<ScriptedResponse> scripts, int rounds, int callers)
            throws InterruptedException {
        Queue<ScriptedResponse> left = new ConcurrentLinkedQueue<>();
        for (int i = 0; i < rounds; i++) {
            left.addAll(scripts);
        }
        Queue<Result> results = new ConcurrentLinkedQueue<>();
        List<Thread> tasks = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            tasks.add(Tasks.start("caller", () -> sendUntilEmpty(kind, left, results)));
        }
        for (Thread t : tasks) {
            t.join();
        }
        assertEquals(rounds * scripts.size(), results.size());
        return List.copyOf(results);
    }

    private void sendUntilEmpty(
            RouteKind kind, Queue<ScriptedResponse> left, Queue<Result> results) {
        ScriptedResponse script = left.poll();
        while (script != null) {
            results.add(send(kind, script));
            script = left.poll();
        }
    }

    /** Returns whether a caller got a body that no target has written for it. */
    boolean isWrong(Result result) {
        if (result.status() != 200) {
            return false;
        }
        return result.kind().streams ? !isStreamOfRuns(result) : !isBodyOfARun(result);
    }

    /** Returns whether a body is that of a run, whatever the status of the response. */
    boolean isBodyOfARun(Result result) {
        return targets.stream().anyMatch(t -> t.bodiesOf(result.id()).contains(result.body()));
    }

    /** Returns whether the id of an event is not higher than that of the event before. */
    static boolean repeatsAnEvent(Result result) {
        int last = 0;
        for (String line : result.body().split("\n", -1)) {
            if (line.startsWith(EVENT_ID)) {
                int id = Integer.parseInt(line.substring(EVENT_ID.length()).trim());
                if (id <= last) {
                    return true;
                }
                last = id;
            }
        }
        return false;
    }

    /** Returns whether a stream consists of the last run, after parts of earlier runs. */
    private boolean isStreamOfRuns(Result result) {
        if (repeatsAnEvent(result)) {
            return false;
        }
        List<String> whole =
                targets.stream().flatMap(t -> t.bodiesOf(result.id()).stream()).toList();
        return whole.contains(result.body())
                || whole.stream()
                        .filter(b -> result.body().endsWith(b))
                        .map(b -> result.body().substring(0, result.body().length() - b.length()))
                        .anyMatch(rest -> whole.stream().anyMatch(b -> b.startsWith(rest)));
    }

    static void assertNone(String what, List<Result> results, Predicate<Result> condition) {
        Map<String, Long> counts =
                results.stream()
                        .filter(condition)
                        .collect(
                                Collectors.groupingBy(
                                        r -> r.script().path() + " " + r.status(),
                                        TreeMap::new,
                                        Collectors.counting()));
        assertEquals(Map.of(), counts, what);
    }

    void assertNoneRanTwice(RouteKind kind, List<Result> results) {
        assertNone(
                "ran more than once",
                results,
                r -> kind.runsOnce && targets.stream().mapToInt(t -> t.runsOf(r.id())).sum() > 1);
    }

    /** Returns the responses with each combination of the given properties, at each moment. */
    static Stream<ScriptedResponse> scripts(
            List<Framing> framings, List<Cut> cuts, List<Copy> copies, List<Integer> statuses) {
        return framings.stream()
                .flatMap(f -> cuts.stream().map(cut -> Map.entry(f, cut)))
                .flatMap(e -> copies.stream().map(copy -> Map.entry(e, copy)))
                .flatMap(e -> Moment.OF_COPIES.stream().map(moment -> Map.entry(e, moment)))
                .flatMap(
                        e ->
                                statuses.stream()
                                        .map(
                                                status ->
                                                        new ScriptedResponse(
                                                                e.getKey().getKey().getKey(),
                                                                e.getKey().getKey().getValue(),
                                                                e.getKey().getValue(),
                                                                e.getValue(),
                                                                status)));
    }
}
