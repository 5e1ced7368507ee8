package org.godwithoist.chat.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import org.godwithoist.chat.ChatRequest;
import org.godwithoist.chat.EngineEvent;
import org.godwithoist.chat.ResponseEnd;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;

/** Streams a response as server-sent events. */
final class EventStreamSink extends HttpResponseSink {
    private static final String CHUNK_TYPE = "chat.completion.chunk";

    /**
     * Idle time after which a keepalive is sent, so that intermediaries do not close the
     * connection.
     */
    private static final long KEEPALIVE_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    private final boolean includeUsage;
    private boolean roleSent;
    private long lastWriteNanos;

    EventStreamSink(HttpServerResponse response, ChatRequest request, boolean includeUsage) {
        super(response, request);
        this.includeUsage = includeUsage;
        roleSent = request.resumeAfter().orElse(0L) > 0;
    }

    @Override
    public boolean chunk(long offset, EngineEvent.Chunk chunk) {
        writeHead();
        JsonObject json = withCommonFields(new JsonObject(chunk.data()), CHUNK_TYPE);
        json.remove("usage");
        ChatJson.choice(json).ifPresent(c -> c.putNull("finish_reason"));
        if (!roleSent) {
            ChatJson.delta(json).ifPresent(d -> d.put("role", "assistant"));
            roleSent = true;
        }
        return send("id: " + offset + "\ndata: " + json.encode() + "\n\n");
    }

    @Override
    public boolean keepAlive() {
        if (!response().headWritten()
                || System.nanoTime() - lastWriteNanos < KEEPALIVE_INTERVAL_NANOS) {
            return isConnected();
        }
        return send(": keepalive\n\n");
    }

    @Override
    public void end(ResponseEnd end) {
        writeHead();
        JsonObject choice =
                new JsonObject()
                        .put("index", 0)
                        .put("delta", new JsonObject())
                        .put("finish_reason", end.finishReason());
        JsonObject lastChunk =
                withCommonFields(new JsonObject(), CHUNK_TYPE)
                        .put("choices", new JsonArray().add(choice))
                        .put("run_state", runStateRan());
        StringBuilder text = new StringBuilder("data: " + lastChunk.encode() + "\n\n");
        if (includeUsage) {
            JsonObject usage =
                    withCommonFields(new JsonObject(), CHUNK_TYPE)
                            .put("choices", new JsonArray())
                            .put("usage", usage(end));
            text.append("data: ").append(usage.encode()).append("\n\n");
        }
        if (isConnected()) {
            response().end(text.append("data: [DONE]\n\n").toString());
        }
    }

    /** Ends a stream that has begun with an error event and without the end marker. */
    void fail(RequestException e) {
        if (isConnected()) {
            response().end("data: " + ErrorBody.json(requestId(), e).encode() + "\n\n");
        }
    }

    private boolean send(String text) {
        boolean written = write(text);
        lastWriteNanos = System.nanoTime();
        return written;
    }

    private void writeHead() {
        if (response().headWritten() || !isConnected()) {
            return;
        }
        // The final run state is known only at the end; the last chunk and error events carry it.
        response()
                .setChunked(true)
                .putHeader("Content-Type", "text/event-stream; charset=utf-8")
                .putHeader("Cache-Control", "no-cache")
                .putHeader("X-Request-Id", requestId())
                .putHeader("X-Run-State", RunState.UNKNOWN.wireName());
    }
}
