package org.godwithoist.chat.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.godwithoist.accounting.Usage;

/** Fields of the chat protocol that both the front and the engine adapter read. */
final class ChatJson {
    private ChatJson() {}

    /** Reads the usage of one request. */
    static Usage usage(JsonObject o) {
        JsonObject details = o.getJsonObject("prompt_tokens_details", new JsonObject());
        return new Usage(
                1,
                o.getLong("prompt_tokens", 0L),
                details.getLong("cached_tokens", 0L),
                o.getLong("completion_tokens", 0L));
    }

    /** Writes the usage of one answer. */
    static JsonObject usage(Usage u) {
        return new JsonObject()
                .put("prompt_tokens", u.promptTokens())
                .put("completion_tokens", u.completionTokens())
                .put("total_tokens", u.promptTokens() + u.completionTokens())
                .put(
                        "prompt_tokens_details",
                        new JsonObject().put("cached_tokens", u.cachedTokens()));
    }

    /** Returns the text of a chunk; empty if it has none. */
    static String deltaText(JsonObject chunk) {
        JsonArray choices = chunk.getJsonArray("choices");
        if (choices == null || choices.isEmpty()) {
            return "";
        }
        JsonObject delta = choices.getJsonObject(0).getJsonObject("delta");
        return delta == null ? "" : delta.getString("content", "");
    }
}
