package org.godwithoist.chat.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.chat.AnswerEnd;
import org.godwithoist.chat.ChatRequest;
import org.godwithoist.chat.EngineEvent;

/** Buffers a response and sends it as one JSON document. */
final class WholeSink extends CallerSink {
    private final StringBuilder text = new StringBuilder();
    private final Map<Integer, JsonObject> toolCalls = new TreeMap<>();

    WholeSink(HttpServerResponse response, ChatRequest request) {
        super(response, request);
    }

    @Override
    public boolean piece(long offset, EngineEvent.Piece piece) {
        text.append(piece.text());
        if (!piece.plainText()) {
            ChatJson.delta(new JsonObject(piece.data()))
                    .map(d -> d.getJsonArray("tool_calls"))
                    .ifPresent(calls -> calls.forEach(c -> addToolCall((JsonObject) c)));
        }
        return present();
    }

    @Override
    public boolean keepAlive() {
        return present();
    }

    @Override
    public void end(AnswerEnd end) {
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
        JsonObject answer =
                withFixedFields(new JsonObject(), "chat.completion")
                        .put("choices", new JsonArray().add(choice))
                        .put("usage", usage(end))
                        .put("run_state", ran());
        if (present()) {
            response()
                    .putHeader("Content-Type", "application/json")
                    .putHeader("X-Request-Id", requestId())
                    .putHeader("X-Run-State", ran())
                    .end(answer.encode());
        }
    }

    /** Merges the parts of a tool call, whose arguments arrive in several chunks. */
    private void addToolCall(JsonObject part) {
        JsonObject call =
                toolCalls.computeIfAbsent(part.getInteger("index", 0), i -> new JsonObject());
        for (String field : part.fieldNames()) {
            if (!field.equals("index") && !field.equals("function")) {
                call.put(field, part.getValue(field));
            }
        }
        JsonObject added = part.getJsonObject("function");
        if (added == null) {
            return;
        }
        JsonObject function = call.getJsonObject("function", new JsonObject());
        if (added.getString("name") != null) {
            function.put("name", added.getString("name"));
        }
        String arguments = function.getString("arguments", "");
        function.put("arguments", arguments + added.getString("arguments", ""));
        call.put("function", function);
    }
}
