package org.godwithoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class LogCommandsTest {
    private static final String EDGE_1_LOG =
            """
            {"at_ms":1000,"event":"start","host":"edge-1"}
            {"at_ms":1100,"event":"catalog","version":3,"routes":9,"adopted":true}
            {"at_ms":1200,"event":"catalog","version":4,"routes":9,"adopted":true}
            {"at_ms":1900,"event":"store_away","table":"targets","reason":"the store answers 503"}
            {"at_ms":2000,"event":"attempt","id":"c1","target":"i-1","outcome":"SILENT","ms":1200}
            {"at_ms":2100,"event":"attempt","id":"c1","target":"i-2","outcome":"ANSWERED",\
            "first_ms":40,"ms":100}
            {"at_ms":2100,"event":"call","id":"c1","route":"r-1","end":"ANSWERED","attempts":2,\
            "ms":1300}
            {"at_ms":2500,"event":"catalog","version":5,"routes":9,"adopted":true}
            {"at_ms":2600,"event":"call","id":"c2","route":"r-1","end":"REFUSED",\
            "refusal":"STOPPING","attempts":0,"ms":0}
            a line of another program
            {"at_ms":2700,"event":"log_lines_dropped","lines":12}
            """;

    @TempDir Path directory;
    private Path edge1Log;
    private String out = "";
    private String err = "";

    @BeforeEach
    void write() throws IOException {
        edge1Log = Files.writeString(directory.resolve("edge-1.log"), EDGE_1_LOG);
    }

    private ExitCode run(String... args) {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        ExitCode code =
                CliMain.run(
                        args,
                        Map.of(),
                        new PrintStream(outBytes, true, StandardCharsets.UTF_8),
                        new PrintStream(errBytes, true, StandardCharsets.UTF_8));
        out = outBytes.toString(StandardCharsets.UTF_8);
        err = errBytes.toString(StandardCharsets.UTF_8);
        return code;
    }

    private JsonObject json(String... args) {
        assertEquals(ExitCode.OK, run(args), err);
        return new JsonObject(out);
    }

    @Nested
    final class TraceOfARequest {
        /** Guards against attempts or states that are missing because they are in other lines. */
        @Test
        void attemptsOutcomeAndStateAreShown() {
            JsonObject trace = json("log", "call", "c1", "--log", edge1Log.toString(), "--json");
            JsonArray lines = trace.getJsonArray("lines");
            assertEquals(3, lines.size());
            assertEquals("SILENT", lines.getJsonObject(0).getString("outcome"));
            assertEquals(100, lines.getJsonObject(1).getInteger("after_ms"));
            assertEquals("edge-1.log", lines.getJsonObject(2).getString("daemon"));
            JsonArray before = trace.getJsonArray("state_before");
            assertEquals(3, before.size());
            assertEquals(4, before.getJsonObject(1).getInteger("version"));
            assertEquals("store_away", before.getJsonObject(2).getString("event"));
            assertEquals(100, before.getJsonObject(2).getInteger("age_ms"));
        }

        /**
         * Guards against lines of several daemons in one file that are attributed to one daemon.
         */
        @Test
        void wordBeforeALineNamesTheDaemon() throws IOException {
            Path all =
                    Files.writeString(
                            directory.resolve("all.log"),
                            """
                              1.5 edge-1 {"at_ms":1500,"event":"catalog","version":1}
                              1.6 edge-2 {"at_ms":1600,"event":"catalog","version":2}
                              1.7 edge-2 {"at_ms":1700,"event":"call","id":"c9","end":"LEFT"}
                            """);
            JsonObject trace = json("log", "call", "c9", "--log", all.toString(), "--json");
            JsonArray before = trace.getJsonArray("state_before");
            assertEquals(1, before.size());
            assertEquals("edge-2", before.getJsonObject(0).getString("daemon"));
        }

        /** Guards against an unknown id that is reported as a request without failures. */
        @Test
        void unknownRequestFails() {
            assertEquals(ExitCode.FAILED, run("log", "call", "c7", "--log", edge1Log.toString()));
            assertTrue(err.contains("no log line has the call id c7"), err);
        }
    }

    @Nested
    final class SummaryOfRequests {
        /** Guards against failures of a target that are hidden by successful responses. */
        @Test
        void endsAndTargetsAreCounted() {
            JsonObject summary = json("log", "summary", "--log", edge1Log.toString(), "--json");
            JsonArray requests = summary.getJsonArray("calls");
            assertEquals("ANSWERED", requests.getJsonObject(0).getString("end"));
            assertEquals(1300, requests.getJsonObject(0).getInteger("ms_p50"));
            assertEquals("REFUSED STOPPING", requests.getJsonObject(1).getString("end"));
            JsonObject worstTarget = summary.getJsonArray("targets").getJsonObject(0);
            assertEquals("i-1", worstTarget.getString("target"));
            assertEquals(1, worstTarget.getInteger("failures"));
        }

        /** Guards against a summary that does not report dropped or unreadable lines. */
        @Test
        void missingLinesAreReported() {
            assertEquals(ExitCode.OK, run("log", "summary", "--log", edge1Log.toString()), err);
            assertTrue(out.matches("(?s).*dropped lines +12\n.*"), out);
            assertTrue(out.matches("(?s).*unreadable lines +1\n.*"), out);
        }

        /** Guards against an error message without the file name. */
        @Test
        void missingFileIsNamed() {
            Path missing = directory.resolve("missing.log");
            assertEquals(ExitCode.FAILED, run("log", "summary", "--log", missing.toString()));
            assertTrue(err.contains("cannot read " + missing), err);
        }
    }
}
