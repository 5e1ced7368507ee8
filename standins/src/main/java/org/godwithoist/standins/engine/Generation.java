package org.godwithoist.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.godwithoist.core.Priority;

/** State of one request in an engine: generated words, the reading connection and token usage. */
final class Generation {
    enum State {
        /** Waiting for a slot. */
        QUEUED("running"),
        /** Generating words. */
        RUNNING("running"),
        /** Finished with the complete response. */
        FINISHED("finished"),
        /** Ended before the response was complete. */
        CANCELLED("cancelled");

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }

        String wireName() {
            return wireName;
        }

        boolean isOver() {
            return this == FINISHED || this == CANCELLED;
        }
    }

    private final String engine;
    private final String id;
    private final String workspace;
    private final String chat;
    private final Priority priority;
    private final String prompt;
    private final int firstWord;
    private final int lastWord;
    private final long promptTokens;
    private final long cachedTokens;
    private final List<String> words = new ArrayList<>();
    private State state = State.QUEUED;
    private HttpServerResponse reader;
    private int sent;
    private boolean muted;

    Generation(
            String engine,
            String id,
            String workspace,
            String chat,
            Priority priority,
            String prompt,
            int firstWord,
            int lastWord,
            long promptTokens,
            long cachedTokens) {
        this.engine = engine;
        this.id = id;
        this.workspace = workspace;
        this.chat = chat;
        this.priority = priority;
        this.prompt = prompt;
        this.firstWord = firstWord;
        this.lastWord = lastWord;
        this.promptTokens = promptTokens;
        this.cachedTokens = cachedTokens;
    }

    String id() {
        return id;
    }

    String chat() {
        return chat;
    }

    Priority priority() {
        return priority;
    }

    State state() {
        return state;
    }

    void setState(State newState) {
        state = newState;
    }

    long uncachedTokens() {
        return promptTokens - cachedTokens;
    }

    long totalTokens() {
        return promptTokens + words.size();
    }

    /** Returns whether there are words left to generate. */
    boolean hasNext() {
        return firstWord + words.size() <= lastWord;
    }

    /** Generates the next word and returns its offset, counted from 1. */
    int generateNext() {
        int position = firstWord + words.size();
        words.add(GeneratedText.word(prompt, position));
        return words.size();
    }

    /** Attaches a new reader and sends it the words after an offset. */
    void attach(HttpServerResponse response, int afterOffset) {
        reader = response;
        muted = false;
        sent = afterOffset;
        response.setChunked(true).putHeader("Content-Type", "text/event-stream");
        flush(false);
    }

    /** Stops writing to the current connection but keeps it open. */
    void mute() {
        muted = true;
    }

    /** Resets the current connection, if any. */
    void cut() {
        if (reader != null) {
            reader.reset();
            reader = null;
        }
    }

    boolean hasReader() {
        return reader != null && !reader.closed();
    }

    void keepAlive() {
        if (hasReader() && !muted && !state.isOver()) {
            reader.write(": keepalive\n\n");
        }
    }

    /**
     * Writes the words that the reader has not received yet and ends the response if the generation
     * has finished. Does nothing without a reader or while muted.
     */
    void flush(boolean duplicate) {
        if (!hasReader() || muted) {
            return;
        }
        while (sent < words.size()) {
            sent++;
            String event = event(sent);
            reader.write(duplicate ? event + event : event);
        }
        if (state == State.FINISHED) {
            JsonObject last = chunk(new JsonObject(), "stop").put("usage", usage());
            reader.end("data: " + last.encode() + "\n\ndata: [DONE]\n\n");
            reader = null;
        }
    }

    JsonObject usage() {
        return new JsonObject()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", words.size())
                .put("total_tokens", totalTokens())
                .put("prompt_tokens_details", new JsonObject().put("cached_tokens", cachedTokens));
    }

    JsonObject describe() {
        return new JsonObject()
                .put("request", id)
                .put("workspace", workspace)
                .put("chat", chat)
                .put("priority", priority.wireName())
                .put("usage", usage());
    }

    private String event(int offset) {
        JsonObject delta = new JsonObject().put("content", words.get(offset - 1));
        return "id: " + offset + "\ndata: " + chunk(delta, null).encode() + "\n\n";
    }

    private JsonObject chunk(JsonObject delta, String finishReason) {
        JsonObject choice =
                new JsonObject()
                        .put("index", 0)
                        .put("delta", delta)
                        .put("finish_reason", finishReason);
        return new JsonObject()
                .put("id", id)
                .put("object", "chat.completion.chunk")
                .put("system_fingerprint", engine)
                .put("choices", new JsonArray().add(choice));
    }
}
