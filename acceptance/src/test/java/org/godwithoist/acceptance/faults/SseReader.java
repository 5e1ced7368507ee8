package org.godwithoist.acceptance.faults;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Collects a streamed answer over one or more connections and notes every repeated offset. */
final class SseReader {
    private final StringBuilder text = new StringBuilder();
    private Buffer pending = Buffer.buffer();
    private volatile long lastOffset;
    private volatile boolean done;
    private volatile boolean outOfOrder;
    private volatile String error = "";

    /** Reads a response to its end. */
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

    /** Returns whether an offset came twice, or one was left out. */
    boolean outOfOrder() {
        return outOfOrder;
    }

    long lastOffset() {
        return lastOffset;
    }

    /** Returns the error event of the last connection, or an empty text. */
    String error() {
        return error;
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
            long offset = Long.parseLong(line.substring("id:".length()).strip());
            outOfOrder |= offset != lastOffset + 1;
            lastOffset = offset;
            return;
        }
        if (!line.startsWith("data:")) {
            return;
        }
        String data = line.substring("data:".length()).strip();
        if (data.equals("[DONE]")) {
            done = true;
            return;
        }
        JsonObject chunk = new JsonObject(data);
        if (chunk.containsKey("error")) {
            error = data;
            return;
        }
        JsonArray choices = chunk.getJsonArray("choices", new JsonArray());
        if (!choices.isEmpty()) {
            JsonObject delta = choices.getJsonObject(0).getJsonObject("delta", new JsonObject());
            String piece = delta.getString("content");
            text.append(piece == null ? "" : piece);
        }
    }
}
