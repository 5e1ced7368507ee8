package org.godwithoist.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.godwithoist.core.Priority;

/** One request in an engine: the words so far, the connection that reads them and the count. */
final class Generation {
    /** State of a request. */
    enum State {
        /** Waits for a slot. */
        QUEUED("running"),
        /** Generates. */
        RUNNING("running"),
        /** Ended with its whole answer. */
        FINISHED("finished"),
        /** Ended early. */
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
    private final List<String> pieces = new ArrayList<>();
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
        return promptTokens + pieces.size();
    }

    /** Returns whether words are left to generate. */
    boolean hasNext() {
        return firstWord + pieces.size() <= lastWord;
    }

    /** Generates the next word and returns its offset. */
    int next() {
        int position = firstWord + pieces.size();
        pieces.add(Words.word(prompt, position));
        return pieces.size();
    }

    /** Sends the pieces after an offset to a new reader. */
    void attach(HttpServerResponse response, int afterOffset) {
        reader = response;
        muted = false;
        sent = afterOffset;
        response.setChunked(true).putHeader("Content-Type", "text/event-stream");
        flush(false);
    }

    /** Stops writing to the present connection, which stays open. */
    void mute() {
        muted = true;
    }

    /** Cuts the present connection. */
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

    /** Writes what the reader lacks; ends the response when the answer is whole. */
    void flush(boolean duplicate) {
        if (!hasReader() || muted) {
            return;
        }
        while (sent < pieces.size()) {
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
                .put("completion_tokens", pieces.size())
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
        JsonObject delta = new JsonObject().put("content", pieces.get(offset - 1));
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
