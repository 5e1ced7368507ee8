package org.godwithoist.chat.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.time.Instant;
import org.godwithoist.chat.ChatRequest;
import org.godwithoist.chat.ResponseEnd;
import org.godwithoist.chat.ResponseSink;
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.task.Await;

/** Common base of the two encodings of a response: the connection and the fixed fields. */
abstract class HttpResponseSink implements ResponseSink {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** A caller that reads nothing for this time counts as disconnected. */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);

    private final HttpServerResponse response;
    private final ChatRequest request;
    private final long created = Instant.now().getEpochSecond();
    private volatile boolean abandoned;

    HttpResponseSink(HttpServerResponse response, ChatRequest request) {
        this.response = response;
        this.request = request;
    }

    @Override
    public void abandon() {
        abandoned = true;
        response.reset();
    }

    HttpServerResponse response() {
        return response;
    }

    String requestId() {
        return request.id().value();
    }

    boolean isConnected() {
        return !abandoned && !response.closed() && !response.ended();
    }

    /**
     * Sends a text and waits until the connection has accepted it; false if the caller has
     * disconnected.
     */
    boolean write(String text) {
        if (!isConnected()) {
            return false;
        }
        try {
            Await.result(response.write(text), WRITE_TIMEOUT);
            return true;
        } catch (RuntimeException e) {
            LOG.atFine().withCause(e).log(
                    "caller of request %s disconnected or did not read in time", request.id());
            abandon();
            return false;
        }
    }

    /** Adds the fields that every chunk and every buffered response carry. */
    JsonObject withCommonFields(JsonObject o, String object) {
        return o.put("id", "chatcmpl-" + request.id())
                .put("object", object)
                .put("created", created)
                .put("model", request.model().value());
    }

    static JsonObject usage(ResponseEnd end) {
        JsonObject usage = ChatJson.usage(end.usage());
        if (end.unsettledAttempts() > 0) {
            usage.put("unsettled_attempts", end.unsettledAttempts());
        }
        return usage;
    }

    static String runStateRan() {
        return RunState.RAN.wireName();
    }
}
