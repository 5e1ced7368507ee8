package org.godwithoist.chat.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.accounting.Usage;
import org.godwithoist.chat.EngineEvent;
import org.godwithoist.chat.EngineException;
import org.godwithoist.chat.EngineStream;

/**
 * Reads the events of one response. The response is paused while {@value #MAX_QUEUED_EVENTS} events
 * are queued, which bounds the memory that the response to a slow caller takes.
 */
final class HttpEngineStream implements EngineStream {
    private static final int MAX_QUEUED_EVENTS = 64;
    private static final String END_MARKER = "[DONE]";

    private final String engine;
    private final HttpClientResponse response;
    private final SseDecoder decoder = new SseDecoder();
    private final Queue<EngineEvent> queue = new ArrayDeque<>();
    private CompletableFuture<EngineEvent> pendingNext;
    private EngineException failure;
    private Usage usage = Usage.NONE;
    private String finishReason = "stop";
    private boolean ended;
    private boolean complete;

    HttpEngineStream(String engine, HttpClientResponse response) {
        this.engine = engine;
        this.response = response;
        response.handler(this::handleData);
        response.exceptionHandler(e -> connectionLost("connection to " + engine + " was lost", e));
        response.endHandler(
                v ->
                        connectionLost(
                                "stream from " + engine + " ended before its end marker", null));
        response.resume();
    }

    @Override
    public Uni<EngineEvent> next() {
        return Uni.createFrom().completionStage(this::pollEvent);
    }

    @Override
    public synchronized void close() {
        ended = true;
        if (!complete) {
            response.request().reset();
        }
    }

    private synchronized CompletableFuture<EngineEvent> pollEvent() {
        EngineEvent event = queue.poll();
        if (event != null) {
            if (queue.isEmpty()) {
                response.resume();
            }
            return CompletableFuture.completedFuture(event);
        }
        if (failure != null) {
            return CompletableFuture.failedFuture(failure);
        }
        pendingNext = new CompletableFuture<>();
        return pendingNext;
    }

    private synchronized void handleData(Buffer bytes) {
        if (ended) {
            return;
        }
        try {
            decoder.feed(bytes).forEach(this::handleEvent);
        } catch (RuntimeException e) {
            connectionLost(engine + " sent a malformed event", e);
        }
    }

    private void handleEvent(SseDecoder.Event event) {
        if (event.comment()) {
            // A keepalive carries no information while events are queued.
            if (queue.isEmpty()) {
                deliver(new EngineEvent.KeepAlive());
            }
            return;
        }
        if (event.data().equals(END_MARKER)) {
            ended = true;
            complete = true;
            deliver(new EngineEvent.End(usage, finishReason));
            return;
        }
        JsonObject chunk = new JsonObject(event.data());
        if (chunk.containsKey("error")) {
            fail(EngineException.Kind.FAILED, engine + " reported an error in its stream", null);
            return;
        }
        JsonObject usageJson = chunk.getJsonObject("usage");
        if (usageJson != null) {
            usage = ChatJson.usage(usageJson);
        }
        ChatJson.finishReason(chunk).ifPresent(reason -> finishReason = reason);
        event.id()
                .ifPresent(
                        offset ->
                                deliver(
                                        new EngineEvent.Chunk(
                                                offset,
                                                ChatJson.deltaText(chunk),
                                                event.data(),
                                                ChatJson.isPlainText(chunk))));
    }

    private void deliver(EngineEvent event) {
        if (pendingNext != null && !pendingNext.isDone()) {
            pendingNext.complete(event);
            return;
        }
        queue.add(event);
        if (queue.size() >= MAX_QUEUED_EVENTS) {
            response.pause();
        }
    }

    private synchronized void connectionLost(String message, Throwable cause) {
        if (ended || failure != null) {
            return;
        }
        fail(EngineException.Kind.CONNECTION_LOST, message, cause);
    }

    private void fail(EngineException.Kind kind, String message, Throwable cause) {
        failure = new EngineException(kind, message, cause);
        if (pendingNext != null && queue.isEmpty()) {
            pendingNext.completeExceptionally(failure);
        }
    }
}
