package org.godwithoist.loadtool.demo;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.loadtool.trace.Deployment;
import org.godwithoist.standins.engine.EngineOptions;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Writes the files of a small fleet to a directory: the settings of each daemon, a bundle, the host
 * list, the fleet map and the list of processes that a script has to start.
 */
public final class DemoSetup {
    private static final int USAGE_ERROR = 2;
    private static final String LOOPBACK_PREFIX = "127.0.0.1:";
    private static final String PEER_SECRET = "a-shared-secret-of-the-demonstration";
    private static final int SERVICE_COUNT = 2;

    /**
     * Number of responses after which an engine stand-in is warm; the bundle must agree with it.
     */
    private static final int ENGINE_WARMUP_RESPONSES = EngineOptions.DEFAULT.warmupResponses();

    @Option(name = "--dir", required = true, metaVar = "DIR", usage = "directory for the files")
    private Path dir;

    @Option(name = "--deployment", metaVar = "NAME", usage = "atelierwerk or rybnikov")
    private String deployment = Deployment.ATELIERWERK.wireName();

    @Option(name = "--daemons", metaVar = "N", usage = "number of daemons")
    private int daemons = 3;

    @Option(
            name = "--engines",
            metaVar = "N",
            usage = "number of engines; 0 for the number of the deployment")
    private int engines;

    @Option(
            name = "--spares",
            metaVar = "N",
            usage = "engines that run but are not on the host list")
    private int spares;

    private final JsonArray hosts = new JsonArray();
    private final JsonArray engineMap = new JsonArray();
    private final JsonArray spareMap = new JsonArray();
    private final JsonArray serviceMap = new JsonArray();
    private final JsonArray daemonMap = new JsonArray();
    private final List<String> processes = new ArrayList<>();

    private DemoSetup() {}

    /** Parses the options and writes the files. */
    public static void main(String[] args) throws IOException {
        DemoSetup setup = new DemoSetup();
        CmdLineParser parser = new CmdLineParser(setup);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_ERROR);
        }
        setup.write();
    }

    private void write() throws IOException {
        Deployment d = Deployment.valueOf(deployment.toUpperCase(Locale.ROOT));
        int platform = LoopbackPorts.next();
        processes.add("standin platform PLATFORM " + LOOPBACK_PREFIX + platform);
        int engineCount = engines == 0 ? d.engines() : engines;
        for (int i = 1; i <= engineCount; i++) {
            addTarget("engine-" + i, "ENGINE", "assistants", i, d, engineMap);
        }
        for (int i = 1; i <= spares; i++) {
            addTarget("spare-" + i, "ENGINE", "assistants", i, d, spareMap);
            hosts.remove(hosts.size() - 1);
        }
        for (int i = 1; i <= SERVICE_COUNT; i++) {
            addTarget("booking-" + i, "SERVICE", "bookings", i, d, serviceMap);
        }
        for (int i = 1; i <= daemons; i++) {
            addDaemon("entry-" + i, domain(i, d), platform);
        }
        writeBundle(d);
        writeFleetMap(d, platform);
        Files.write(dir.resolve("processes"), processes);
    }

    private void addTarget(
            String id, String kind, String pool, int number, Deployment d, JsonArray map)
            throws IOException {
        int port = LoopbackPorts.next();
        processes.add("standin " + id + " " + kind + " " + LOOPBACK_PREFIX + port);
        hosts.add(
                new JsonObject()
                        .put("host", "host-" + id)
                        .put("target", id)
                        .put("kind", kind.toLowerCase(Locale.ROOT))
                        .put("pool", pool)
                        .put("failure_domain", domain(number, d))
                        .put("address", LOOPBACK_PREFIX + port)
                        .put("state", "live"));
        map.add(
                new JsonObject()
                        .put("id", id)
                        .put("failureDomain", domain(number, d))
                        .put("endpoint", LOOPBACK_PREFIX + port));
    }

    private void addDaemon(String host, String domain, int platform) throws IOException {
        String callers = LOOPBACK_PREFIX + LoopbackPorts.next();
        String operators = LOOPBACK_PREFIX + LoopbackPorts.next();
        String peers = LOOPBACK_PREFIX + LoopbackPorts.next();
        JsonObject settings =
                new JsonObject()
                        .put("host", host)
                        .put("failureDomain", domain)
                        .put(
                                "listen",
                                new JsonObject()
                                        .put("callers", callers)
                                        .put("operators", operators)
                                        .put("peers", peers))
                        .put("platform", LOOPBACK_PREFIX + platform)
                        .put(
                                "peerKeys",
                                new JsonArray()
                                        .add(
                                                new JsonObject()
                                                        .put("id", "key-1")
                                                        .put("secret", PEER_SECRET)))
                        .put("operators", operatorEntries());
        Path file = dir.resolve(host + ".json");
        Files.writeString(file, settings.encodePrettily());
        processes.add("daemon " + host + " " + file);
        hosts.add(
                new JsonObject()
                        .put("host", host)
                        .put("kind", "daemon")
                        .put("failure_domain", domain)
                        .put("address", peers)
                        .put("state", "live"));
        daemonMap.add(
                new JsonObject()
                        .put("host", host)
                        .put("callers", callers)
                        .put("operators", operators));
    }

    /** Reads the operator entries that the command-line tool wrote to the directory. */
    private JsonArray operatorEntries() throws IOException {
        JsonArray entries = new JsonArray();
        for (String name : List.of("anna", "ben")) {
            entries.add(new JsonObject(Files.readString(dir.resolve(name + ".entry"))));
        }
        return entries;
    }

    private void writeBundle(Deployment d) throws IOException {
        JsonArray workspaces = new JsonArray();
        for (int i = 0; i < d.workspaceWeights().size(); i++) {
            String id = "workspace-" + i;
            workspaces.add(
                    new JsonObject()
                            .put("id", id)
                            .put("share", d.workspaceWeights().get(i))
                            .put("keyHashes", new JsonArray().add(sha256(apiKey(id)))));
        }
        JsonArray domains = new JsonArray();
        for (int i = 1; i <= d.failureDomains(); i++) {
            domains.add("domain-" + i);
        }
        JsonArray pools =
                new JsonArray()
                        .add(
                                new JsonObject()
                                        .put("id", "assistants")
                                        .put("kind", "engine")
                                        .put("cacheTokens", 100_000)
                                        .put("warmupAnswers", ENGINE_WARMUP_RESPONSES)
                                        .put("fencing", "checked"))
                        .add(new JsonObject().put("id", "bookings").put("kind", "service"));
        JsonArray levels =
                new JsonArray()
                        .add(serviceLevel("urgent", 500, 10_000))
                        .add(serviceLevel("interactive", 1_000, 20_000))
                        .add(serviceLevel("background", 20_000, 60_000));
        JsonObject bundle =
                new JsonObject()
                        .put("format", 1)
                        .put("failureDomains", domains)
                        .put("workspaces", workspaces)
                        .put(
                                "models",
                                new JsonArray()
                                        .add(
                                                new JsonObject()
                                                        .put("id", "assistant")
                                                        .put("pool", "assistants")))
                        .put("pools", pools)
                        .put("serviceLevels", levels);
        Files.writeString(dir.resolve("bundle.json"), bundle.encodePrettily());
    }

    private static JsonObject serviceLevel(String priority, int firstTokenMs, int deadlineMs) {
        return new JsonObject()
                .put("priority", priority)
                .put("firstTokenMs", firstTokenMs)
                .put("deadlineMs", deadlineMs);
    }

    private void writeFleetMap(Deployment d, int platform) throws IOException {
        JsonObject keys = new JsonObject();
        for (int i = 0; i < d.workspaceWeights().size(); i++) {
            keys.put("workspace-" + i, apiKey("workspace-" + i));
        }
        JsonObject map =
                new JsonObject()
                        .put("daemons", daemonMap)
                        .put("engines", engineMap)
                        .put("spares", spareMap)
                        .put("services", serviceMap)
                        .put("platform", LOOPBACK_PREFIX + platform)
                        .put("keys", keys)
                        .put("operatorToken", Files.readString(dir.resolve("anna.token")).strip());
        Files.writeString(dir.resolve("fleet.json"), map.encodePrettily());
        Files.writeString(
                dir.resolve("hosts.json"), new JsonObject().put("hosts", hosts).encodePrettily());
    }

    private static String domain(int number, Deployment d) {
        return "domain-" + ((number - 1) % d.failureDomains() + 1);
    }

    private static String apiKey(String workspace) {
        return "key-of-" + workspace;
    }

    private static String sha256(String text) {
        try {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
