package org.godwithoist.cli.log;

import io.vertx.core.json.JsonObject;

/**
 * One parsed line of a daemon's log.
 *
 * @param atMs time of the event, in milliseconds as logged
 * @param source daemon that wrote the line: the word before the JSON object, or else the file name
 * @param event event name
 * @param fields all fields of the line, including time and event name
 */
public record LogEntry(long atMs, String source, String event, JsonObject fields) {
    /** Returns a copy of the fields without the time and the event name. */
    JsonObject details() {
        JsonObject details = fields.copy();
        details.remove("at_ms");
        details.remove("event");
        return details;
    }
}
