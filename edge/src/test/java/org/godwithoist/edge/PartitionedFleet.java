package org.godwithoist.edge;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.edge.ScriptedFleet.RouteKind;
import org.godwithoist.standins.edge.ClientStandin;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.EdgeSettingsText;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.godwithoist.standins.edge.RunnerStandin;

/**
 * Daemons in processes of their own, which know each other, and targets of two services. Each
 * daemon has a link of its own to each target, which can be given a fault.
 */
final class PartitionedFleet implements AutoCloseable {
    static final int DAEMONS = 4;
    static final Duration DEADLINE = Duration.ofSeconds(3);
    static final String ATTEMPT_ID = "X-Godwithoist-Attempt-Id";
    static final String DEADLINE_MS = "X-Godwithoist-Deadline-Ms";

    /** Failure domain of all targets, and of the daemons of a fleet with one domain. */
    static final String DOMAIN = "zone-a";

    private static final int TARGETS = 4;
    private static final int EVENTS = 6;
    private static final int STREAM_TIMEOUT_MS = 5000;
    private static final int PROMPT_PREFIXES = 16;
    private static final Duration WORK = Duration.ofMillis(10);
    private static final Duration CALL_INTERVAL = Duration.ofMillis(50);

    /** Path from a daemon to a target. */
    private record Link(RunnerStandin target, TargetLink path) {}

    /** A daemon, its ports and its links. */
    private record Daemon(int port, int readyPort, DaemonProcess process, List<Link> links) {}

    /** Ports of a daemon for messages of other daemons, which follow each other. */
    private record InternalPorts(int first, int second) {
        private static InternalPorts next() {
            int first = LoopbackPorts.next();
            int second = LoopbackPorts.next();
            while (second != first + 1) {
                first = second;
                second = LoopbackPorts.next();
            }
            return new InternalPorts(first, second);
        }
    }

    final List<RunnerStandin> desks = new ArrayList<>();
    final List<RunnerStandin> engines = new ArrayList<>();
    private final RowStoreStandin store = new RowStoreStandin();
    private final List<String> domains;
    private final List<InternalPorts> internalPorts = new ArrayList<>();
    private final List<Daemon> daemons = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();

    /**
     * Starts a fleet of one failure domain.
     *
     * @param dir directory for the files of the daemons
     */
    PartitionedFleet(Path dir) throws IOException {
        this(dir, Collections.nCopies(DAEMONS, DOMAIN));
    }

    /**
     * Starts the fleet and waits until its daemons are ready and know each other.
     *
     * @param dir directory for the files of the daemons
     * @param domains failure domain of each daemon
     */
    PartitionedFleet(Path dir, List<String> domains) throws IOException {
        this.domains = domains;
        store.put("op", "config", ConfigText.of(1, STREAM_TIMEOUT_MS));
        for (int i = 0; i < TARGETS; i++) {
            desks.add(startTarget(new RunnerStandin("desk-" + i, "desk", 0, WORK)));
            engines.add(startTarget(new RunnerStandin("engine-" + i, "models", EVENTS, WORK)));
        }
        listDaemons();
        for (int i = 0; i < domains.size(); i++) {
            daemons.add(startDaemon(i, Files.createDirectory(dir.resolve(name(i)))));
        }
        for (Daemon d : daemons) {
            d.process().awaitReadiness(d.readyPort());
        }
        String whole = "\"members\":" + domains.size();
        for (Daemon d : daemons) {
            EdgeFixture.await("contact of the daemons", () -> d.process().logContains(whole));
        }
    }

    private RunnerStandin startTarget(RunnerStandin target) {
        store.put("servers", target.id(), target.entry(DOMAIN, "ready"));
        return target;
    }

    private static String name(int index) {
        return "edge-" + index;
    }

    /** Lists all daemons as after an earlier run, so that each has its share of limits at once. */
    private void listDaemons() {
        for (int i = 0; i < domains.size(); i++) {
            InternalPorts ports = InternalPorts.next();
            internalPorts.add(ports);
            store.put("daemons", name(i), "127.0.0.1:" + ports.first() + " " + domains.get(i));
        }
    }

    private Daemon startDaemon(int index, Path dir) throws IOException {
        List<Link> links = new ArrayList<>();
        Map<String, String> addresses = new HashMap<>();
        for (RunnerStandin target : targets()) {
            TargetLink path = new TargetLink(target.endpoint(), links.size() / 2 % 2 == 1);
            links.add(new Link(target, path));
            addresses.put(target.endpoint().toString(), path.endpoint().toString());
        }
        Endpoint view = store.openView("servers", row -> replaceAddress(row, addresses));
        int port = LoopbackPorts.next();
        int readyPort = LoopbackPorts.next();
        InternalPorts ports = internalPorts.get(index);
        String settings =
                EdgeSettingsText.of(name(index), port, readyPort, view)
                        .replace("zone=" + DOMAIN, "zone=" + domains.get(index))
                        .replace(
                                "internalPorts=0,0",
                                "internalPorts=" + ports.first() + "," + ports.second());
        DaemonProcess process = new DaemonProcess(dir, settings, DaemonProcess.DEPLOYED_MEMORY);
        return new Daemon(port, readyPort, process, links);
    }

    private static String replaceAddress(String row, Map<String, String> addresses) {
        String changed = row;
        for (Map.Entry<String, String> a : addresses.entrySet()) {
            changed = changed.replace('"' + a.getKey() + '"', '"' + a.getValue() + '"');
        }
        return changed;
    }

    /** Returns the targets of both services in turn. */
    List<RunnerStandin> targets() {
        List<RunnerStandin> targets = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            targets.add(desks.get(i));
            targets.add(engines.get(i));
        }
        return targets;
    }

    /** Gives the first daemons a fault on their way to all targets. */
    void setFault(int daemonCount, LinkFault fault) {
        setFault(daemonCount, targets(), fault);
    }

    /** Gives the first daemons a fault on their way to some targets. */
    void setFault(int daemonCount, List<RunnerStandin> reached, LinkFault fault) {
        try {
            for (Daemon d : daemons.subList(0, daemonCount)) {
                for (Link l : d.links()) {
                    if (reached.contains(l.target())) {
                        l.path().setFault(fault);
                    }
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the second internal ports of all daemons. */
    List<Integer> secondInternalPorts() {
        return internalPorts.stream().map(InternalPorts::second).toList();
    }

    /** Returns the address of a daemon for callers. */
    Endpoint daemon(int index) {
        return new Endpoint("127.0.0.1", daemons.get(index).port());
    }

    /** Returns an id that no other attempt has. */
    String nextId() {
        return "call-" + ids.incrementAndGet();
    }

    /** Returns the header fields of a request. */
    static Map<String, String> fields(RouteKind kind, String id, Duration deadline) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("Host", ConfigText.HOST);
        fields.put(ATTEMPT_ID, id);
        fields.put("X-Api-Key", ConfigText.API_KEY);
        fields.put(DEADLINE_MS, Long.toString(deadline.toMillis()));
        if (kind.streams) {
            int prefix = Math.floorMod(id.hashCode(), PROMPT_PREFIXES);
            String last = Integer.toHexString(id.hashCode());
            fields.put("X-Godwithoist-Prompt-Prefix", "p" + prefix + ":500," + last + ":30");
        }
        return fields;
    }

    /** Sends a request. */
    static void send(ClientStandin client, RouteKind kind, String id, Duration deadline)
            throws IOException {
        String body = kind.method.equals("POST") ? "text of " + id : "";
        client.send(kind.method, kind.prefix + id, fields(kind, id, deadline), body);
    }

    /** Sends a request on a new connection and waits for its response. */
    FirstTry call(int daemon, RouteKind kind) {
        String id = nextId();
        long sentAt = System.nanoTime();
        int status = 0;
        String body;
        try (ClientStandin client = new ClientStandin(daemon(daemon))) {
            send(client, kind, id, DEADLINE);
            ClientStandin.Response response = client.receive();
            status = response.status();
            body = response.body();
        } catch (IOException e) {
            body = String.valueOf(e.getMessage());
        }
        Duration duration = Duration.ofNanos(System.nanoTime() - sentAt);
        return new FirstTry(kind, daemon, id, sentAt, duration, status, isWhole(kind, body), body);
    }

    private boolean isWhole(RouteKind kind, String body) {
        return kind.streams
                ? body.equals(wholeStream())
                : desks.stream().anyMatch(d -> body.equals("answer of " + d.id()));
    }

    private static String wholeStream() {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            text.append("id: " + i + "\ndata: piece " + i + "\n\n");
        }
        return text.toString();
    }

    /** Calls all daemons on all kinds of routes, at a steady rate, for a time. */
    List<FirstTry> callAll(Duration time) throws InterruptedException {
        Queue<FirstTry> results = new ConcurrentLinkedQueue<>();
        List<Thread> calls = new ArrayList<>();
        RouteKind[] kinds = RouteKind.values();
        long start = System.nanoTime();
        for (int i = 0; CALL_INTERVAL.multipliedBy(i).compareTo(time) < 0; i++) {
            RouteKind kind = kinds[i % kinds.length];
            long due = start + CALL_INTERVAL.multipliedBy(i).toNanos();
            Tasks.sleep(Duration.ofNanos(Math.max(0, due - System.nanoTime())));
            for (int d = 0; d < domains.size(); d++) {
                int daemon = d;
                calls.add(Tasks.start("caller", () -> results.add(call(daemon, kind))));
            }
        }
        for (Thread c : calls) {
            c.join();
        }
        return List.copyOf(results);
    }

    /** Returns how often targets have run each request, by the id of the attempt. */
    Map<String, Long> runs() {
        return targets().stream()
                .flatMap(t -> t.executedRequests().stream())
                .collect(Collectors.groupingBy(r -> r.attemptId(), Collectors.counting()));
    }

    /** Asks a daemon to end, as for a planned stop. */
    void stopDaemon(int daemon) {
        daemons.get(daemon).process().process().destroy();
    }

    /** Returns the lines of a daemon's log that contain a text. */
    String logLines(int daemon, String text) {
        return daemons.get(daemon).process().logLines(text);
    }

    @Override
    public void close() throws IOException {
        for (Daemon d : daemons) {
            d.process().close();
            for (Link l : d.links()) {
                l.path().close();
            }
        }
        for (RunnerStandin t : targets()) {
            t.close();
        }
        store.close();
    }
}
