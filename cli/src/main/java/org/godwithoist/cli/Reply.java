package org.godwithoist.cli;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/**
 * A daemon's answer.
 *
 * @param status HTTP status
 * @param text body
 */
record Reply(int status, String text) {
    private static final List<String> MEMBERS_WITHOUT =
            List.of("unacknowledged", "out_of_contact", "unconfirmed_groups");

    /** Returns the body as JSON; an object with the text if it is none. */
    JsonObject body() {
        try {
            return new JsonObject(text);
        } catch (DecodeException | ClassCastException e) {
            return new JsonObject().put("text", text);
        }
    }

    /** Returns whether the daemon names members or groups that did not acknowledge. */
    boolean isIncomplete() {
        return MEMBERS_WITHOUT.stream()
                .anyMatch(f -> body().getValue(f) instanceof JsonArray a && !a.isEmpty());
    }

    /** Returns whether the request took effect, in the wire form; empty if the daemon says none. */
    String runState() {
        return error().getString("run_state", "");
    }

    /** Returns the daemon's sentence about a failure. */
    String message() {
        return error().getString("message", "the daemon answered with status " + status);
    }

    /** Returns the findings of a bundle. */
    JsonArray findings() {
        return body().getJsonArray("findings", new JsonArray());
    }

    private JsonObject error() {
        return body().getValue("error") instanceof JsonObject o ? o : new JsonObject();
    }
}
