package org.godwithoist.loadtool.load;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.Consumer;

/**
 * Collects a streamed response over one or more connections: text, event offsets, usage, the last
 * error and the time of the first token. Thread-safe.
 */
public final class ResponseReader {
    private static final String DONE = "[DONE]";

    private final StringBuilder text = new StringBuilder();
    private final Consumer<String> onText;
    private Buffer pending = Buffer.buffer();
    private long firstTokenNanos;
    private long lastOffset;
    private long promptTokens;
    private long cachedTokens;
    private boolean done;
    private boolean outOfSequence;
    private String error = "";
    private String engine = "";

    /**
     * Creates a reader for one response.
     *
     * @param onText receives each piece of text as it is read; called while this reader is locked
     */
    public ResponseReader(Consumer<String> onText) {
        this.onText = onText;
    }

    /** Reads the body to its end; call again with the body that resumes the same stream. */
    public Future<Void> read(HttpClientResponse response) {
        Promise<Void> ended = Promise.promise();
        synchronized (this) {
            pending = Buffer.buffer();
        }
        response.handler(this::parse);
        response.exceptionHandler(ended::tryFail);
        response.endHandler(v -> ended.tryComplete());
        return ended.future();
    }

    /** Returns the text received so far. */
    public synchronized String text() {
        return text.toString();
    }

    /** Returns whether the end marker of the stream was received. */
    public synchronized boolean done() {
        return done;
    }

    /** Returns whether any event offset was repeated or left out. */
    public synchronized boolean outOfSequence() {
        return outOfSequence;
    }

    /** Returns the last event offset received, or 0. */
    public synchronized long lastOffset() {
        return lastOffset;
    }

    /** Returns {@link System#nanoTime()} at the first token, or 0. */
    public synchronized long firstTokenNanos() {
        return firstTokenNanos;
    }

    /** Returns the prompt tokens according to the usage of the response, or 0. */
    public synchronized long promptTokens() {
        return promptTokens;
    }

    /** Returns the cached prompt tokens according to the usage of the response, or 0. */
    public synchronized long cachedTokens() {
        return cachedTokens;
    }

    /** Returns the JSON text of the last error event, or an empty string. */
    public synchronized String error() {
        return error;
    }

    /** Returns the engine named by the last chunk, or an empty string. */
    public synchronized String engine() {
        return engine;
    }

    private synchronized void parse(Buffer bytes) {
        pending.appendBuffer(bytes);
        int start = 0;
        for (int i = 0; i < pending.length(); i++) {
            if (pending.getByte(i) == '\n') {
                parseLine(pending.getString(start, i).strip());
                start = i + 1;
            }
        }
        pending = pending.getBuffer(start, pending.length());
    }

    private void parseLine(String line) {
        if (line.startsWith("id:")) {
            long offset = Long.parseLong(line.substring(3).strip());
            outOfSequence |= offset != lastOffset + 1;
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
        JsonObject chunk = new JsonObject(data);
        if (chunk.containsKey("error")) {
            error = data;
            return;
        }
        parseChunk(chunk);
    }

    private void parseChunk(JsonObject chunk) {
        engine = chunk.getString("system_fingerprint", engine);
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
