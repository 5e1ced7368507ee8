package org.godwithoist.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.util.Map;
import java.util.Optional;

/**
 * Where a command reads its environment and prints.
 *
 * @param environment environment variables
 * @param out results
 * @param err failures
 */
record Console(Map<String, String> environment, PrintStream out, PrintStream err) {
    /** Returns the option if it is set, or else the environment variable. */
    Optional<String> setting(String option, String variable) {
        return Optional.ofNullable(option)
                .or(() -> Optional.ofNullable(environment.get(variable)))
                .filter(s -> !s.isBlank());
    }

    /** Prints a result as JSON or as tables. */
    void print(JsonObject body, boolean json) {
        out.print(json ? body.encodePrettily() + "\n" : HumanView.of(body));
    }
}
