package org.godwithoist.acceptance;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.daemon.DaemonMain;
import org.godwithoist.standins.StandinMain;

/** Stand-ins and daemons of one session, each a separate process on the loopback interface. */
public final class Fleet implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final List<String> OPERATORS = List.of("anna", "ben", "carol");
    private static final int CONTACT_ATTEMPTS = 200;
    private static final int CONTACT_INTERVAL_MS = 50;

    /** Longer than every request deadline; a lost response fails its test instead of all of CI. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(60);

    private static final String BUNDLE_RESOURCE = "/bundles/small.json";

    private final Path directory;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, ServerProcess> processes = new TreeMap<>();
    private final Map<String, Integer> ports = new TreeMap<>();
    private final JsonArray hosts = new JsonArray();
    private final JsonArray operators = new JsonArray();
    private final String daemonHeap;

    /** Creates a fleet that keeps its files and logs in a directory. */
    public Fleet(Path directory) {
        this(directory, ServerProcess.DEPLOYED_HEAP);
    }

    /**
     * Creates a fleet whose daemons have another size of the heap.
     *
     * @param daemonHeap option for the maximum size of the heap of a daemon
     */
    Fleet(Path directory, String daemonHeap) {
        this.directory = directory;
        this.daemonHeap = daemonHeap;
    }

    /** Returns the log of a process. */
    String log(String name) throws IOException {
        return Files.readString(directory.resolve(name + ".log"));
    }

    /**
     * Starts the stand-ins and the daemons, waits until all daemons are in contact, and rolls the
     * bundle.
     */
    public void start(int engines, int daemons) throws IOException, InterruptedException {
        int platform = LoopbackPorts.next();
        ports.put("platform", platform);
        startStandin("platform", "PLATFORM", platform);
        for (int i = 1; i <= engines; i++) {
            startEngine("engine-" + i, domainOf(i));
        }
        startService("tickets-1", domainOf(1));
        for (String name : OPERATORS) {
            operators.add(OperatorCli.keygen(directory, name));
        }
        for (int i = 1; i <= daemons; i++) {
            addDaemon("daemon-" + i, domainOf(i));
        }
        publishHosts();
        for (int i = 1; i <= daemons; i++) {
            startDaemon("daemon-" + i);
        }
        for (int i = 1; i <= daemons; i++) {
            awaitContact("daemon-" + i, daemons);
        }
        rollBundle();
    }

    /** Returns the failure domain of the engine or daemon with the given number, counted from 1. */
    public static String domainOf(int number) {
        return "domain-" + ((number - 1) % 2 + 1);
    }

    /** Reads the status of a daemon as the first operator. */
    JsonObject status(String daemon) throws IOException, InterruptedException {
        var headers = Map.of("Authorization", "Bearer " + operatorToken());
        return new JsonObject(send("GET", daemon + "-operators", "/v1/status", "", headers).body());
    }

    /** Returns the token of the first operator. */
    public String operatorToken() throws IOException {
        return Files.readString(directory.resolve(OPERATORS.get(0) + ".token")).strip();
    }

    /** Waits until a daemon is in contact with all daemons, as an operator would before a roll. */
    private void awaitContact(String daemon, int daemons) throws IOException, InterruptedException {
        for (int i = 0; i < CONTACT_ATTEMPTS; i++) {
            long inContact =
                    status(daemon).getJsonArray("members").stream()
                            .filter(m -> "CONTACT".equals(((JsonObject) m).getString("contact")))
                            .count();
            if (inContact == daemons) {
                return;
            }
            Thread.sleep(CONTACT_INTERVAL_MS);
        }
        throw new IOException(
                daemon + " is not in contact with all daemons; status: " + status(daemon).encode());
    }

    /** Writes a copy of the session's bundle that has another share for a workspace. */
    Path bundleWithShare(String workspace, int share) throws IOException {
        String text =
                resource(BUNDLE_RESOURCE)
                        .replaceAll(
                                "(\"id\": \"" + workspace + "\".*\"share\": )[0-9]+", "$1" + share);
        Path file = directory.resolve("bundle-" + workspace + "-" + share + ".json");
        Files.writeString(file, text);
        return file;
    }

    private void startService(String id, String domain) throws IOException {
        int port = LoopbackPorts.next();
        ports.put(id, port);
        startStandin(id, "SERVICE", port);
        addTarget(id, "service", "tickets", domain, port);
    }

    void startEngine(String id, String domain) throws IOException {
        int port = LoopbackPorts.next();
        ports.put(id, port);
        startStandin(id, "ENGINE", port);
        addTarget(id, "engine", "assistants", domain, port);
    }

    private void addTarget(String id, String kind, String pool, String domain, int port) {
        hosts.add(
                new JsonObject()
                        .put("host", "host-" + id)
                        .put("target", id)
                        .put("kind", kind)
                        .put("pool", pool)
                        .put("failure_domain", domain)
                        .put("address", LOOPBACK + ":" + port)
                        .put("state", "live"));
    }

    void publishHosts() throws IOException, InterruptedException {
        send("PUT", "platform", "/hosts", new JsonObject().put("hosts", hosts).encode(), Map.of());
    }

    /**
     * Returns the port of a process. The operator and peer ports of a daemon have the suffixes
     * {@code -operators} and {@code -peers}.
     */
    public int port(String name) {
        return ports.get(name);
    }

    /** Returns the current process with the given name. */
    public ServerProcess process(String name) {
        return processes.get(name);
    }

    /** Sends a request to a process and returns the complete response. */
    public HttpResponse<String> send(
            String method, String to, String path, String body, Map<String, String> headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + LOOPBACK + ":" + port(to) + path))
                        .timeout(RESPONSE_TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    @Override
    public void close() {
        processes.values().forEach(ServerProcess::close);
    }

    private void rollBundle() throws IOException {
        Path bundle = directory.resolve("bundle.json");
        Files.writeString(bundle, resource(BUNDLE_RESOURCE));
        CliRun submitted = operator("anna").run("bundle", "submit", bundle.toString(), "--json");
        String proposal = new JsonObject(submitted.output()).getString("proposal");
        operator("ben").run("bundle", "review", proposal).expectOk();
        operator("ben").run("bundle", "sign", proposal).expectOk();
        operator("ben").run("bundle", "roll", proposal).expectOk();
    }

    /** Returns the command line of an operator, connected to the first daemon. */
    public OperatorCli operator(String name) {
        return new OperatorCli(directory, name, LOOPBACK + ":" + port("daemon-1-operators"));
    }

    private void addDaemon(String host, String domain) throws IOException {
        for (String port : List.of("", "-operators", "-peers")) {
            ports.put(host + port, LoopbackPorts.next());
        }
        JsonObject settings =
                new JsonObject()
                        .put("host", host)
                        .put("failureDomain", domain)
                        .put(
                                "listen",
                                new JsonObject()
                                        .put("callers", LOOPBACK + ":" + port(host))
                                        .put(
                                                "operators",
                                                LOOPBACK + ":" + port(host + "-operators"))
                                        .put("peers", LOOPBACK + ":" + port(host + "-peers")))
                        .put("platform", LOOPBACK + ":" + port("platform"))
                        .put("operators", operators)
                        .put("seeds", seeds())
                        .put(
                                "peerKeys",
                                new JsonArray()
                                        .add(
                                                new JsonObject()
                                                        .put("id", "k1")
                                                        .put(
                                                                "secret",
                                                                "a-test-secret-of-the-fleet")));
        Files.writeString(directory.resolve(host + ".json"), settings.encodePrettily());
        hosts.add(
                new JsonObject()
                        .put("host", host)
                        .put("kind", "daemon")
                        .put("failure_domain", domain)
                        .put("address", LOOPBACK + ":" + port(host + "-peers"))
                        .put("state", "live"));
    }

    /**
     * Returns the daemons added so far; with these a daemon can start while the platform is down.
     */
    private JsonArray seeds() {
        JsonArray seeds = new JsonArray();
        for (Object o : hosts) {
            JsonObject h = (JsonObject) o;
            if (h.getString("kind").equals("daemon")) {
                seeds.add(
                        new JsonObject()
                                .put("host", h.getString("host"))
                                .put("failureDomain", h.getString("failure_domain"))
                                .put("peer", h.getString("address")));
            }
        }
        return seeds;
    }

    /** Starts a daemon, or restarts it after it was killed or drained. */
    public void startDaemon(String host) throws IOException {
        processes.put(
                host,
                ServerProcess.start(
                        directory,
                        host,
                        DaemonMain.class,
                        daemonHeap,
                        port(host),
                        "--settings",
                        directory.resolve(host + ".json").toString()));
    }

    private void startStandin(String name, String kind, int port) throws IOException {
        List<String> args = new ArrayList<>(List.of(kind, "--listen", LOOPBACK + ":" + port));
        args.addAll(List.of("--id", name));
        processes.put(
                name,
                ServerProcess.start(
                        directory, name, StandinMain.class, port, args.toArray(String[]::new)));
    }

    private static String resource(String path) throws IOException {
        try (var in = Fleet.class.getResourceAsStream(path)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
