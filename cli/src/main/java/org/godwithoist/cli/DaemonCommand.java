package org.godwithoist.cli;

import io.vertx.core.json.JsonObject;
import java.util.Arrays;
import java.util.List;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.json.Finding;
import org.godwithoist.core.json.SourceLocation;
import org.kohsuke.args4j.Option;

/** Command that sends requests to a daemon. */
abstract class DaemonCommand extends JsonCommand {
    private static final String DAEMON_VARIABLE = "GODWITHOIST_DAEMON";

    @Option(
            name = "--daemon",
            metaVar = "IP:PORT",
            usage =
                    "operators' port of a daemon, or several separated by commas; default:"
                            + " environment variable GODWITHOIST_DAEMON")
    private String daemon;

    @Option(
            name = "--token-file",
            metaVar = "FILE",
            usage =
                    "file with the operator's token; default: environment variables"
                            + " GODWITHOIST_TOKEN_FILE or GODWITHOIST_TOKEN")
    private String tokenFile;

    /** Runs the command with a client, which is closed afterwards. */
    abstract ExitCode run(Console console, DaemonClient client);

    @Override
    ExitCode run(Console console) {
        try (DaemonClient client = new DaemonClient(daemons(console), token(console))) {
            return run(console, client);
        }
    }

    private String token(Console console) {
        return Credentials.token(console, tokenFile);
    }

    boolean hasDaemon(Console console) {
        return console.setting(daemon, DAEMON_VARIABLE).isPresent();
    }

    private List<Endpoint> daemons(Console console) {
        String text =
                console.setting(daemon, DAEMON_VARIABLE)
                        .orElseThrow(
                                () ->
                                        new CliException(
                                                ExitCode.USAGE,
                                                "daemon address is missing: pass --daemon or set "
                                                        + DAEMON_VARIABLE));
        try {
            return Arrays.stream(text.split(",")).map(String::strip).map(Endpoint::parse).toList();
        } catch (IllegalArgumentException e) {
            throw new CliException(ExitCode.USAGE, e.getMessage(), e);
        }
    }

    /** Prints a response, or an error with all its findings, and returns the exit code. */
    ExitCode printResponse(Console console, DaemonResponse response) {
        ExitCode code = ExitCode.of(response);
        if (code == ExitCode.OK || code == ExitCode.INCOMPLETE) {
            console.print(response.body(), isJson());
            return code;
        }
        if (isJson()) {
            console.print(response.body(), true);
            return code;
        }
        console.err().println(response.message());
        for (Object o : response.findings()) {
            JsonObject finding = (JsonObject) o;
            // Same format as for findings of local validation.
            SourceLocation location =
                    new SourceLocation(
                            finding.getString("file"),
                            finding.getInteger("line"),
                            finding.getInteger("column"),
                            finding.getString("path"));
            console.err().println(new Finding(location, finding.getString("message")));
        }
        return code;
    }

    /** Returns the body of a successful response; throws the error of any other response. */
    static JsonObject requireSuccess(DaemonResponse response) {
        ExitCode code = ExitCode.of(response);
        if (code != ExitCode.OK) {
            throw new CliException(code, response.message());
        }
        return response.body();
    }
}
