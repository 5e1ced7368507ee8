package org.godwithoist.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.util.Map;
import java.util.Optional;

/**
 * Environment variables and output streams of a command.
 *
 * @param environment environment variables
 * @param out stream for results
 * @param err stream for error messages
 */
record Console(Map<String, String> environment, PrintStream out, PrintStream err) {
    /** Returns the option if it is set, or else the environment variable; empty if blank. */
    Optional<String> setting(String option, String variable) {
        return Optional.ofNullable(option)
                .or(() -> Optional.ofNullable(environment.get(variable)))
                .filter(s -> !s.isBlank());
    }

    /** Prints a result as JSON or as text. */
    void print(JsonObject body, boolean json) {
        out.print(json ? body.encodePrettily() + "\n" : TextFormatter.of(body));
    }
}
