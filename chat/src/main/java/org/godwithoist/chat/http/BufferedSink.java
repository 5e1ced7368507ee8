package org.godwithoist.chat.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.chat.ChatRequest;
import org.godwithoist.chat.EngineEvent;
import org.godwithoist.chat.ResponseEnd;

/** Buffers a response and sends it as one JSON document. */
final class BufferedSink extends HttpResponseSink {
    private final StringBuilder text = new StringBuilder();
    private final Map<Integer, JsonObject> toolCalls = new TreeMap<>();

    BufferedSink(HttpServerResponse response, ChatRequest request) {
        super(response, request);
    }

    @Override
    public boolean chunk(long offset, EngineEvent.Chunk chunk) {
        text.append(chunk.text());
        if (!chunk.plainText()) {
            ChatJson.delta(new JsonObject(chunk.data()))
                    .map(d -> d.getJsonArray("tool_calls"))
                    .ifPresent(calls -> calls.forEach(c -> mergeToolCall((JsonObject) c)));
        }
        return isConnected();
    }

    @Override
    public boolean keepAlive() {
        return isConnected();
    }

    @Override
    public void end(ResponseEnd end) {
        JsonObject message = new JsonObject().put("role", "assistant");
        message.put("content", text.isEmpty() && !toolCalls.isEmpty() ? null : text.toString());
        if (!toolCalls.isEmpty()) {
            message.put("tool_calls", new JsonArray(toolCalls.values().stream().toList()));
        }
        JsonObject choice =
                new JsonObject()
                        .put("index", 0)
                        .put("message", message)
                        .put("finish_reason", end.finishReason());
        JsonObject body =
                withCommonFields(new JsonObject(), "chat.completion")
                        .put("choices", new JsonArray().add(choice))
                        .put("usage", usage(end))
                        .put("run_state", runStateRan());
        if (isConnected()) {
            response()
                    .putHeader("Content-Type", "application/json")
                    .putHeader("X-Request-Id", requestId())
                    .putHeader("X-Run-State", runStateRan())
                    .end(body.encode());
        }
    }

    /** Merges the parts of a tool call, whose arguments arrive in several chunks. */
    private void mergeToolCall(JsonObject part) {
        JsonObject call =
                toolCalls.computeIfAbsent(part.getInteger("index", 0), i -> new JsonObject());
        for (String field : part.fieldNames()) {
            if (!field.equals("index") && !field.equals("function")) {
                call.put(field, part.getValue(field));
            }
        }
        JsonObject addedFunction = part.getJsonObject("function");
        if (addedFunction == null) {
            return;
        }
        JsonObject function = call.getJsonObject("function", new JsonObject());
        if (addedFunction.getString("name") != null) {
            function.put("name", addedFunction.getString("name"));
        }
        String arguments = function.getString("arguments", "");
        function.put("arguments", arguments + addedFunction.getString("arguments", ""));
        call.put("function", function);
    }
}
