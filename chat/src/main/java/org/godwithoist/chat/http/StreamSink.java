package org.godwithoist.chat.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import org.godwithoist.chat.AnswerEnd;
import org.godwithoist.chat.ChatRequest;
import org.godwithoist.chat.EngineEvent;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;

/** Streams a response as server-sent events. */
final class StreamSink extends CallerSink {
    private static final String CHUNK = "chat.completion.chunk";

    /**
     * Idle time after which a keepalive is sent, so that intermediaries do not close the
     * connection.
     */
    private static final long QUIET_NANOS = Duration.ofSeconds(5).toNanos();

    private final boolean includeUsage;
    private boolean roleSent;
    private long lastWrite;

    StreamSink(HttpServerResponse response, ChatRequest request, boolean includeUsage) {
        super(response, request);
        this.includeUsage = includeUsage;
        roleSent = request.resumeAfter().orElse(0L) > 0;
    }

    @Override
    public boolean piece(long offset, EngineEvent.Piece piece) {
        start();
        JsonObject chunk = withFixedFields(new JsonObject(piece.data()), CHUNK);
        chunk.remove("usage");
        ChatJson.choice(chunk).ifPresent(c -> c.putNull("finish_reason"));
        if (!roleSent) {
            ChatJson.delta(chunk).ifPresent(d -> d.put("role", "assistant"));
            roleSent = true;
        }
        return send("id: " + offset + "\ndata: " + chunk.encode() + "\n\n");
    }

    @Override
    public boolean keepAlive() {
        if (!response().headWritten() || System.nanoTime() - lastWrite < QUIET_NANOS) {
            return present();
        }
        return send(": keepalive\n\n");
    }

    @Override
    public void end(AnswerEnd end) {
        start();
        JsonObject choice =
                new JsonObject()
                        .put("index", 0)
                        .put("delta", new JsonObject())
                        .put("finish_reason", end.finishReason());
        JsonObject last =
                withFixedFields(new JsonObject(), CHUNK)
                        .put("choices", new JsonArray().add(choice))
                        .put("run_state", ran());
        StringBuilder text = new StringBuilder("data: " + last.encode() + "\n\n");
        if (includeUsage) {
            JsonObject usage =
                    withFixedFields(new JsonObject(), CHUNK)
                            .put("choices", new JsonArray())
                            .put("usage", usage(end));
            text.append("data: ").append(usage.encode()).append("\n\n");
        }
        if (present()) {
            response().end(text.append("data: [DONE]\n\n").toString());
        }
    }

    /** Ends a stream that has begun with an error event and without the end marker. */
    void fail(RequestException e) {
        if (present()) {
            response().end("data: " + ErrorBody.json(requestId(), e).encode() + "\n\n");
        }
    }

    private boolean send(String text) {
        boolean written = write(text);
        lastWrite = System.nanoTime();
        return written;
    }

    private void start() {
        if (response().headWritten() || !present()) {
            return;
        }
        // The run state of a stream is known at its end; the last chunk and error events carry it.
        response()
                .setChunked(true)
                .putHeader("Content-Type", "text/event-stream; charset=utf-8")
                .putHeader("Cache-Control", "no-cache")
                .putHeader("X-Request-Id", requestId())
                .putHeader("X-Run-State", RunState.UNKNOWN.wireName());
    }
}
