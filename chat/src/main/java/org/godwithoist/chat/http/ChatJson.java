package org.godwithoist.chat.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.accounting.Usage;
import org.godwithoist.chat.EngineClient;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.RequestId;

/** Reads and writes the JSON of the chat protocol, for callers and engines. */
final class ChatJson {
    /** Fields of a delta that another engine can continue from the text alone. */
    private static final Set<String> TEXT_FIELDS = Set.of("role", "content");

    private ChatJson() {}

    /** Parses the usage of one request. */
    static Usage usage(JsonObject o) {
        JsonObject details = o.getJsonObject("prompt_tokens_details", new JsonObject());
        return new Usage(
                1,
                o.getLong("prompt_tokens", 0L),
                details.getLong("cached_tokens", 0L),
                o.getLong("completion_tokens", 0L));
    }

    /** Formats the usage of one response. */
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
        return delta(chunk).map(d -> d.getString("content")).orElse("");
    }

    /** Returns whether a chunk adds nothing but text. */
    static boolean isPlainText(JsonObject chunk) {
        return delta(chunk).map(d -> TEXT_FIELDS.containsAll(d.fieldNames())).orElse(true);
    }

    /** Returns why the engine stopped; empty if the chunk does not contain it. */
    static Optional<String> finishReason(JsonObject chunk) {
        return choice(chunk).map(c -> c.getString("finish_reason"));
    }

    /** Returns the delta of a chunk; empty if it has none. */
    static Optional<JsonObject> delta(JsonObject chunk) {
        return choice(chunk).map(c -> c.getJsonObject("delta"));
    }

    /** Returns the only choice of a chunk; empty for chunks that carry usage. */
    static Optional<JsonObject> choice(JsonObject chunk) {
        JsonArray choices = chunk.getJsonArray("choices");
        return choices == null || choices.isEmpty()
                ? Optional.empty()
                : Optional.of(choices.getJsonObject(0));
    }

    /** Parses the ids of the running requests in a load report. */
    static List<RequestId> runningRequests(JsonObject load) {
        return load.getJsonArray("running_requests", new JsonArray()).stream()
                .map(id -> new RequestId(id.toString()))
                .toList();
    }

    /** Parses an engine's response to the export of a prompt cache. */
    static EngineClient.CacheExport cacheExport(JsonObject o) {
        return new EngineClient.CacheExport(o.getString("object"), o.getLong("tokens", 0L));
    }

    static List<EngineClient.CacheEvent> cacheEvents(JsonObject o) {
        return o.getJsonArray("events", new JsonArray()).stream()
                .map(JsonObject.class::cast)
                .map(
                        e ->
                                new EngineClient.CacheEvent(
                                        e.getLong("seq"),
                                        "stored".equals(e.getString("kind")),
                                        new ChatId(e.getString("chat")),
                                        e.getLong("tokens", 0L)))
                .toList();
    }
}
