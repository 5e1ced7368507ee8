package org.godwithoist.loadtool.load;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.RequestId;

/** Builds streaming chat requests, for the load generator and for tests. */
public final class ChatRequests {
    private static final String MODEL = "assistant";

    private ChatRequests() {}

    /** Returns the method, address and headers of a chat request. */
    public static RequestOptions to(
            Endpoint endpoint, String workspaceKey, ChatId chat, RequestId id) {
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(endpoint.ip())
                .setPort(endpoint.port())
                .setURI("/v1/chat/completions")
                .putHeader("Authorization", "Bearer " + workspaceKey)
                .putHeader("Content-Type", "application/json")
                .putHeader("X-Chat-Id", chat.value())
                .putHeader("X-Request-Id", id.value());
    }

    /** Returns the body of a request for a streamed response with the given number of words. */
    public static JsonObject body(JsonArray messages, int words) {
        return new JsonObject()
                .put("model", MODEL)
                .put("messages", messages)
                .put("max_tokens", words)
                .put("stream", true);
    }
}
