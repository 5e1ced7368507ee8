package org.godwithoist.cli;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/**
 * HTTP response of a daemon.
 *
 * @param status HTTP status
 * @param text body; empty if there is none
 */
record DaemonResponse(int status, String text) {
    private static final List<String> UNACKNOWLEDGED_FIELDS =
            List.of("unacknowledged", "out_of_contact", "unconfirmed_groups");

    /** Returns the body as JSON, or an object with field "text" if it is not a JSON object. */
    JsonObject body() {
        try {
            return new JsonObject(text);
        } catch (DecodeException | ClassCastException e) {
            return new JsonObject().put("text", text);
        }
    }

    /** Returns whether the body lists members or groups that did not acknowledge. */
    boolean isIncomplete() {
        return UNACKNOWLEDGED_FIELDS.stream()
                .anyMatch(f -> body().getValue(f) instanceof JsonArray a && !a.isEmpty());
    }

    /** Returns the run state of a failed request in its wire form; empty if the body has none. */
    String runState() {
        return error().getString("run_state", "");
    }

    /** Returns the daemon's error message, or a message with the status if there is none. */
    String message() {
        return error().getString("message", "the daemon responded with HTTP status " + status);
    }

    /** Returns the findings in a bundle; empty if there are none. */
    JsonArray findings() {
        return body().getJsonArray("findings", new JsonArray());
    }

    private JsonObject error() {
        return body().getValue("error") instanceof JsonObject o ? o : new JsonObject();
    }
}
