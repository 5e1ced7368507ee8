package org.godwithoist.cli.log;

import io.vertx.core.json.JsonObject;

/**
 * One line of a daemon's log.
 *
 * @param atMs time of day in milliseconds
 * @param source which log it is from: what stands before the line's object, or the file's name
 * @param event what happened
 * @param fields all fields of the line
 */
public record LogEntry(long atMs, String source, String event, JsonObject fields) {
    /** Returns the fields but the time and the event. */
    JsonObject details() {
        JsonObject details = fields.copy();
        details.remove("at_ms");
        details.remove("event");
        return details;
    }
}
