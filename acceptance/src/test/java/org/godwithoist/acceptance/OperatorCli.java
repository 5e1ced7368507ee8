package org.godwithoist.acceptance;

import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import org.godwithoist.cli.CliMain;
import org.godwithoist.cli.ExitCode;

/** The command line of one operator. */
public final class OperatorCli {
    private final Map<String, String> environment;

    OperatorCli(Path directory, String name, String daemon) {
        environment =
                Map.of(
                        "GODWITHOIST_DAEMON",
                        daemon,
                        "GODWITHOIST_OPERATOR",
                        name,
                        "GODWITHOIST_TOKEN_FILE",
                        directory.resolve(name + ".token").toString(),
                        "GODWITHOIST_KEY_FILE",
                        directory.resolve(name + ".key").toString());
    }

    /** Generates the keys of an operator and returns the operator's entry for the settings. */
    static JsonObject keygen(Path directory, String name) {
        CliRun run = execute(Map.of(), "keygen", name, "--out", directory.toString(), "--json");
        run.expectOk();
        return new JsonObject(run.output());
    }

    /** Runs a command within this process and returns its result. */
    public CliRun run(String... args) {
        return execute(environment, args);
    }

    private static CliRun execute(Map<String, String> environment, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode code =
                CliMain.run(
                        args,
                        environment,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        return new CliRun(
                code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }
}
