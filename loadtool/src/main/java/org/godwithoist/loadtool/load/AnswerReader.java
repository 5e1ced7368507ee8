package org.godwithoist.loadtool.load;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.Consumer;

/** Collects a streamed answer: text, offsets, usage and the time of the first token. */
final class AnswerReader {
    private static final String DONE = "[DONE]";

    private final StringBuilder text = new StringBuilder();
    private final Consumer<String> onText;
    private Buffer pending = Buffer.buffer();
    private long firstTokenNanos;
    private long lastOffset;
    private long promptTokens;
    private long cachedTokens;
    private boolean done;
    private boolean repeated;

    AnswerReader(Consumer<String> onText) {
        this.onText = onText;
    }

    /** Reads a response to its end; may be called again with the rest of the same answer. */
    Future<Void> read(HttpClientResponse response) {
        Promise<Void> ended = Promise.promise();
        pending = Buffer.buffer();
        response.handler(this::take);
        response.exceptionHandler(ended::tryFail);
        response.endHandler(v -> ended.tryComplete());
        return ended.future();
    }

    String text() {
        return text.toString();
    }

    boolean done() {
        return done;
    }

    /** Returns whether an offset came twice or out of order. */
    boolean repeated() {
        return repeated;
    }

    long lastOffset() {
        return lastOffset;
    }

    long firstTokenNanos() {
        return firstTokenNanos;
    }

    long promptTokens() {
        return promptTokens;
    }

    long cachedTokens() {
        return cachedTokens;
    }

    private void take(Buffer bytes) {
        pending.appendBuffer(bytes);
        int start = 0;
        for (int i = 0; i < pending.length(); i++) {
            if (pending.getByte(i) == '\n') {
                takeLine(pending.getString(start, i).strip());
                start = i + 1;
            }
        }
        pending = pending.getBuffer(start, pending.length());
    }

    private void takeLine(String line) {
        if (line.startsWith("id:")) {
            long offset = Long.parseLong(line.substring(3).strip());
            repeated |= offset != lastOffset + 1;
            lastOffset = offset;
            return;
        }
        if (!line.startsWith("data:")) {
            return;
        }
        String data = line.substring(5).strip();
        if (data.equals(DONE)) {
            done = true;
            return;
        }
        takeChunk(new JsonObject(data));
    }

    private void takeChunk(JsonObject chunk) {
        JsonObject usage = chunk.getJsonObject("usage");
        if (usage != null) {
            promptTokens = usage.getLong("prompt_tokens", 0L);
            JsonObject details = usage.getJsonObject("prompt_tokens_details", new JsonObject());
            cachedTokens = details.getLong("cached_tokens", 0L);
        }
        JsonArray choices = chunk.getJsonArray("choices", new JsonArray());
        if (choices.isEmpty()) {
            return;
        }
        String piece =
                choices.getJsonObject(0)
                        .getJsonObject("delta", new JsonObject())
                        .getString("content", "");
        if (piece == null || piece.isEmpty()) {
            return;
        }
        if (firstTokenNanos == 0) {
            firstTokenNanos = System.nanoTime();
        }
        text.append(piece);
        onText.accept(piece);
    }
}
