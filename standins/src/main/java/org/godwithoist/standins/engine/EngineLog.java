package org.godwithoist.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Locale;

/** What an engine did, for checkers that trust only the engine's own count. */
final class EngineLog {
    private final JsonArray entries = new JsonArray();

    /** Kinds of entries. */
    enum Kind {
        /** A request was accepted. */
        ACCEPTED,
        /** A request ended with its whole answer. */
        FINISHED,
        /** A request was cancelled. */
        CANCELLED,
        /** The engine turned cold. */
        COLD,
        /** An order was carried out. */
        ORDER,
        /** An order was refused. */
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
