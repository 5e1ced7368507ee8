package org.godwithoist.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Locale;

/**
 * Log of an engine's actions. Tests check token usage and the execution of orders against it, so
 * that they need not trust the counts of the daemons.
 */
final class EngineLog {
    private final JsonArray entries = new JsonArray();

    enum Kind {
        /** A request was accepted. */
        ACCEPTED,
        /** A request finished with its complete response. */
        FINISHED,
        /** A request was cancelled. */
        CANCELLED,
        /** The engine became cold. */
        COLD,
        /** An order was executed. */
        ORDER,
        /** An order was rejected because of an outdated fencing number. */
        ORDER_REFUSED;
    }

    void add(Kind kind, JsonObject fields) {
        entries.add(
                fields.put("at", System.currentTimeMillis())
                        .put("kind", kind.name().toLowerCase(Locale.ROOT)));
    }

    JsonArray entries() {
        return entries;
    }
}
