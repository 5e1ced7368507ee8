package org.godwithoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.godwithoist.bundle.HeadPush;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.OperatorKeys;
import org.godwithoist.bundle.http.BundleRoutes;
import org.godwithoist.bundle.http.OperatorAuth;
import org.godwithoist.bundle.store.BundleOperations;
import org.godwithoist.bundle.store.BundleTables;
import org.godwithoist.bundle.store.RevisionStore;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Await;
import org.godwithoist.settings.OperatorKey;
import org.godwithoist.store.fake.FakeObjectStore;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CliMainTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String BUNDLE_TEMPLATE =
            """
            {"format": 1, // a comment
             "workspaces": [{"id": "antwerp", "share": SHARE}],
             "serviceLevels": [{"priority": "urgent"}, {"priority": "interactive"},
                               {"priority": "background"}]}
            """;

    @TempDir Path directory;
    private final Vertx vertx = Vertx.vertx();
    private final FakeTableStore table = new FakeTableStore();
    private final List<JsonObject> orders = new ArrayList<>();
    private final List<OperatorKey> operators = new ArrayList<>();
    private volatile HeadPush.Report report =
            new HeadPush.Report(List.of(new HostId("host-0")), List.of(), List.of());
    private int port;
    private String out = "";
    private String err = "";

    @BeforeEach
    void listen() {
        for (String name : List.of("anna", "ben")) {
            assertEquals(
                    ExitCode.OK,
                    run(null, "keygen", name, "--out", directory.toString(), "--json"));
            JsonObject entry = new JsonObject(out);
            operators.add(
                    new OperatorKey(
                            entry.getString("name"),
                            entry.getString("tokenHash"),
                            entry.getString("publicKey")));
        }
        OperatorKeys keys = new OperatorKeys(operators);
        HeadState state = new HeadState(keys);
        RevisionStore revisions = new RevisionStore(new FakeObjectStore(), state);
        HeadPush headPush =
                head -> {
                    state.adopt(head, revisions.load(head.manifest(), List.of()));
                    return report;
                };
        var operations =
                new BundleOperations(
                        new BundleTables(table),
                        revisions,
                        state,
                        keys,
                        headPush,
                        InstantSource.system());
        OperatorAuth auth = new OperatorAuth(operators);
        Router router = Router.router(vertx);
        new BundleRoutes(operations, auth).mount(router);
        router.route("/v1/*").handler(auth);
        router.route("/v1/*").handler(BodyHandler.create(false));
        router.post("/v1/orders")
                .handler(
                        c -> {
                            orders.add(c.body().asJsonObject());
                            if (orders.getLast().getString("subject").endsWith("lost")) {
                                c.request().connection().close();
                                return;
                            }
                            c.json(new JsonObject().put("unacknowledged", new JsonArray()));
                        });
        router.get("/v1/orders")
                .handler(
                        c ->
                                c.json(
                                        new JsonObject()
                                                .put(
                                                        "orders",
                                                        new JsonArray()
                                                                .add(order("domain:d1"))
                                                                .add(order("host:h1")))));
        router.get("/v1/status").handler(c -> c.json(new JsonObject().put("members", 6)));
        router.get("/v1/usage").handler(c -> c.request().connection().close());
        router.get("/v1/report/burn.html").handler(c -> c.end("<html>burn</html>"));
        var server = vertx.createHttpServer().requestHandler(router);
        port = Await.result(server.listen(0, "127.0.0.1"), TIMEOUT).actualPort();
    }

    private static JsonObject order(String subject) {
        return new JsonObject().put("subject", subject).put("state", "out");
    }

    @AfterEach
    void stop() {
        Await.result(vertx.close(), TIMEOUT);
    }

    private ExitCode run(String operator, String... args) {
        var outBytes = new ByteArrayOutputStream();
        var errBytes = new ByteArrayOutputStream();
        Map<String, String> environment = new HashMap<>();
        if (operator != null) {
            environment.put("GODWITHOIST_DAEMON", "127.0.0.1:" + port);
            environment.put("GODWITHOIST_OPERATOR", operator);
            environment.put("GODWITHOIST_TOKEN_FILE", directory.resolve(operator + ".token") + "");
            environment.put("GODWITHOIST_KEY_FILE", directory.resolve(operator + ".key") + "");
        }
        ExitCode code =
                CliMain.run(
                        args,
                        environment,
                        new PrintStream(outBytes, true, StandardCharsets.UTF_8),
                        new PrintStream(errBytes, true, StandardCharsets.UTF_8));
        out = outBytes.toString(StandardCharsets.UTF_8);
        err = errBytes.toString(StandardCharsets.UTF_8);
        return code;
    }

    private String bundleFile(int share) {
        return write("bundle.json", BUNDLE_TEMPLATE.replace("SHARE", Integer.toString(share)));
    }

    private String write(String name, String text) {
        try {
            return Files.writeString(directory.resolve(name), text).toString();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Submits, reviews and signs a bundle and returns the id of its proposal. */
    private String submitAndSign(int share) {
        String file = bundleFile(share);
        assertEquals(ExitCode.OK, run("anna", "bundle", "submit", file, "--json"), err);
        String id = new JsonObject(out).getString("proposal");
        assertEquals(ExitCode.OK, run("ben", "bundle", "review", id), err);
        assertEquals(ExitCode.OK, run("ben", "bundle", "sign", id, "--file", file), err);
        return id;
    }

    @Nested
    class Bundles {
        /** Guards against a stage of a proposal that no command reaches or that is not shown. */
        @Test
        void passThroughAllStages() {
            assertEquals(ExitCode.OK, run("ben", "bundle", "roll", submitAndSign(1)), err);
            assertEquals(ExitCode.OK, run("ben", "bundle", "roll", submitAndSign(2)), err);
            assertTrue(out.contains("host-0"), out);
            assertEquals(ExitCode.OK, run("ben", "bundle", "diff", "2", "--from", "1"), err);
            assertTrue(out.contains("workspace antwerp: share changes from 1 to 2"), out);
            assertEquals(ExitCode.OK, run("ben", "bundle", "history", "--limit", "1"), err);
            assertTrue(out.contains("rolled") && out.contains("anna"), out);
            assertEquals(ExitCode.OK, run("ben", "bundle", "status", "--json"), err);
            assertEquals(2, new JsonObject(out).getJsonObject("in_force").getInteger("revision"));
            assertEquals(ExitCode.OK, run("ben", "bundle", "validate", bundleFile(3)), err);
        }

        /** Guards against a signature for content that the signer has not reviewed. */
        @Test
        void areSignedOnlyWithTheExpectedContent() {
            run("anna", "bundle", "submit", bundleFile(1), "--json");
            String id = new JsonObject(out).getString("proposal");
            run("ben", "bundle", "review", id);
            assertEquals(
                    ExitCode.FAILED,
                    run("ben", "bundle", "sign", id, "--file", bundleFile(9)),
                    err);
            assertEquals(ExitCode.DENIED, run("anna", "bundle", "sign", id), err);
        }
    }

    @Nested
    class ExitCodes {
        /** Guards against findings that are missing or lose their locations. */
        @Test
        void findingsAreReportedWithTheirLocations() {
            String bad = write("bad.json", "{\"format\": 1,\n \"pools\": [{\"id\": \"a b\"}]}");
            for (String operator : new String[] {null, "anna"}) {
                assertEquals(ExitCode.FINDINGS, run(operator, "bundle", "validate", bad));
                assertTrue(err.contains("bad.json:2:19 /pools/0/id: "), err);
                assertEquals(3, err.split("serviceLevels", -1).length - 1, err);
                assertEquals(ExitCode.FINDINGS, run(operator, "bundle", "validate", bad, "--json"));
                assertEquals(4, new JsonObject(out).getJsonArray("findings").size(), out);
            }
        }

        /**
         * Guards against a conflict or an incomplete roll that is reported to scripts as success.
         */
        @Test
        void conflictAndIncompleteRollHaveOwnCodes() {
            String first = submitAndSign(1);
            String second = submitAndSign(2);
            report = new HeadPush.Report(List.of(), List.of(new HostId("host-7")), List.of());
            assertEquals(ExitCode.INCOMPLETE, run("anna", "bundle", "roll", first));
            assertTrue(out.contains("host-7"), out);
            assertEquals(ExitCode.CONFLICT, run("ben", "bundle", "roll", second));
        }

        /**
         * Guards against an exit code that claims a definite result for a write of unknown outcome.
         */
        @Test
        void unknownOutcomeDiffersFromUnavailable() {
            String id = submitAndSign(1);
            table.setFault(StoreFault.DOWN);
            assertEquals(ExitCode.UNAVAILABLE, run("ben", "bundle", "roll", id));
            table.setFault(StoreFault.REQUEST_LOST);
            // Reads fail in this state too, so the roll fails before its write.
            assertEquals(ExitCode.UNAVAILABLE, run("ben", "bundle", "roll", id));
            assertEquals(ExitCode.UNAVAILABLE, run("ben", "usage"));
            assertEquals(
                    ExitCode.UNAVAILABLE, run("ben", "status", "--daemon", "127.0.0.1:1"), err);
            assertEquals(ExitCode.UNKNOWN, run("ben", "host", "out", "lost"));
            DaemonResponse lost =
                    new DaemonResponse(503, "{\"error\": {\"run_state\": \"unknown\"}}");
            assertEquals(ExitCode.UNKNOWN, ExitCode.of(lost));
            assertEquals(ExitCode.UNKNOWN, ExitCode.of(new DaemonResponse(502, "gateway")));
        }

        /** Guards against a second daemon that is not tried when the first one is unavailable. */
        @Test
        void nextDaemonIsTried() {
            String bothDaemons = "127.0.0.1:1,127.0.0.1:" + port;
            assertEquals(ExitCode.OK, run("ben", "status", "--daemon", bothDaemons), err);
            assertEquals("members  6\n", out);
        }
    }

    @Nested
    class Secrets {
        /**
         * Guards against tokens or keys in the output, and against key files that others can read.
         */
        @Test
        void areNeverPrinted() throws IOException {
            String token = Files.readString(directory.resolve("anna.token")).strip();
            write("wrong", token + "x");
            String key = directory.resolve("anna.key").toString();
            String wrong = directory.resolve("wrong").toString();
            assertEquals(ExitCode.DENIED, run("anna", "status", "--token-file", wrong));
            assertFalse((out + err).contains(token));
            assertEquals(
                    ExitCode.DENIED,
                    run("anna", "bundle", "submit", bundleFile(1), "--key-file", wrong));
            assertFalse((out + err).contains(token));
            for (String malformed : List.of(token + "\n" + token, token + " x", "ä" + token)) {
                write("wrong", malformed);
                assertEquals(ExitCode.DENIED, run("anna", "status", "--token-file", wrong));
                assertFalse((out + err).contains(token));
            }
            assertEquals(ExitCode.FAILED, run(null, "keygen", "anna", "--out", directory + ""));
            assertEquals(
                    "rw-------",
                    PosixFilePermissions.toString(Files.getPosixFilePermissions(Path.of(key))));
            assertEquals(ExitCode.DENIED, run(null, "status", "--daemon", "127.0.0.1:1"));
        }
    }

    @Nested
    class Orders {
        /** Guards against an order for the wrong kind of subject. */
        @Test
        void applyToTheKindOfSubjectOfTheCommand() {
            assertEquals(ExitCode.OK, run("anna", "domain", "out", "d1"), err);
            assertEquals(ExitCode.OK, run("anna", "host", "in", "h1"), err);
            assertEquals("domain:d1 out", text(orders.get(0)));
            assertEquals("host:h1 in", text(orders.get(1)));
            assertEquals(ExitCode.OK, run("anna", "host", "list", "--json"), err);
            assertEquals(1, new JsonObject(out).getJsonArray("orders").size());
        }

        private static String text(JsonObject order) {
            return order.getString("subject") + " " + order.getString("state");
        }
    }

    @Nested
    class Help {
        /** Guards against a command without a help text. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "bundle",
                    "bundle validate",
                    "bundle diff",
                    "bundle submit",
                    "bundle review",
                    "bundle sign",
                    "bundle roll",
                    "bundle status",
                    "bundle history",
                    "domain",
                    "domain out",
                    "domain in",
                    "domain list",
                    "host",
                    "host out",
                    "host in",
                    "host list",
                    "status",
                    "usage",
                    "report",
                    "report burn",
                    "keygen"
                })
        void existsForEachCommand(String command) {
            assertEquals(ExitCode.OK, run(null, (command + " --help").strip().split(" ")));
            assertTrue(out.startsWith("godwithoist " + command) && out.contains("Exit codes"), out);
            assertEquals(ExitCode.USAGE, run(null, (command + " --bogus").strip().split(" ")));
        }

        /** Guards against a report that is not written to its file. */
        @Test
        void burnReportIsWrittenToAFile() throws IOException {
            String html = directory.resolve("burn.html").toString();
            assertEquals(ExitCode.OK, run("ben", "report", "burn", "--html", html), err);
            assertEquals("<html>burn</html>", Files.readString(Path.of(html)));
        }
    }
}
