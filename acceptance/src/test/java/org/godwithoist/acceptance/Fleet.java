package org.godwithoist.acceptance;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.daemon.DaemonMain;
import org.godwithoist.standins.StandinMain;

/** Stand-ins and daemons of one session, each a process of its own on the loopback interface. */
final class Fleet implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String BUNDLE_RESOURCE = "/bundles/small.json";

    private final Path folder;
    private final HttpClient http = HttpClient.newHttpClient();
    private final Map<String, ServerProcess> processes = new TreeMap<>();
    private final Map<String, Integer> ports = new TreeMap<>();
    private final JsonArray hosts = new JsonArray();

    Fleet(Path folder) {
        this.folder = folder;
    }

    void start(int engines, int daemons) throws IOException, InterruptedException {
        int platform = freePort();
        ports.put("platform", platform);
        startStandin("platform", "PLATFORM", platform);
        for (int i = 1; i <= engines; i++) {
            startEngine("engine-" + i, "domain-" + ((i - 1) % 2 + 1));
        }
        publishHosts();
        publishBundle();
        for (int i = 1; i <= daemons; i++) {
            startDaemon("daemon-" + i, "domain-" + ((i - 1) % 2 + 1));
        }
    }

    void startEngine(String id, String domain) throws IOException {
        int port = freePort();
        ports.put(id, port);
        startStandin(id, "ENGINE", port);
        hosts.add(
                new JsonObject()
                        .put("host", "host-" + id)
                        .put("target", id)
                        .put("kind", "engine")
                        .put("pool", "assistants")
                        .put("failure_domain", domain)
                        .put("address", LOOPBACK + ":" + port)
                        .put("state", "live"));
    }

    void publishHosts() throws IOException, InterruptedException {
        send("PUT", "platform", "/hosts", new JsonObject().put("hosts", hosts).encode(), Map.of());
    }

    int port(String name) {
        return ports.get(name);
    }

    ServerProcess process(String name) {
        return processes.get(name);
    }

    HttpResponse<String> send(
            String method, String to, String path, String body, Map<String, String> headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + LOOPBACK + ":" + port(to) + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    @Override
    public void close() {
        processes.values().forEach(ServerProcess::close);
    }

    private void publishBundle() throws IOException, InterruptedException {
        String bundle = resource(BUNDLE_RESOURCE);
        JsonObject write =
                new JsonObject()
                        .put("table", "bundle_head")
                        .put("key", "head")
                        .put("expected", 0)
                        .put("value", bundle);
        JsonObject body = new JsonObject().put("writes", new JsonArray().add(write));
        send("POST", "platform", "/commit", body.encode(), Map.of());
    }

    private void startDaemon(String host, String domain) throws IOException {
        int port = freePort();
        ports.put(host, port);
        JsonObject settings =
                new JsonObject()
                        .put("host", host)
                        .put("failureDomain", domain)
                        .put(
                                "listen",
                                new JsonObject()
                                        .put("callers", LOOPBACK + ":" + port)
                                        .put("operators", LOOPBACK + ":" + freePort())
                                        .put("peers", LOOPBACK + ":" + freePort()))
                        .put("platform", LOOPBACK + ":" + port("platform"))
                        .put(
                                "peerKeys",
                                new JsonArray()
                                        .add(
                                                new JsonObject()
                                                        .put("id", "k1")
                                                        .put(
                                                                "secret",
                                                                "a-test-secret-of-the-fleet")));
        Path file = folder.resolve(host + ".json");
        Files.writeString(file, settings.encodePrettily());
        processes.put(
                host,
                ServerProcess.start(
                        folder, host, DaemonMain.class, port, "--settings", file.toString()));
    }

    private void startStandin(String name, String kind, int port) throws IOException {
        List<String> args = new ArrayList<>(List.of(kind, "--listen", LOOPBACK + ":" + port));
        args.addAll(List.of("--id", name));
        processes.put(
                name,
                ServerProcess.start(
                        folder, name, StandinMain.class, port, args.toArray(String[]::new)));
    }

    private static String resource(String path) throws IOException {
        try (var in = Fleet.class.getResourceAsStream(path)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
