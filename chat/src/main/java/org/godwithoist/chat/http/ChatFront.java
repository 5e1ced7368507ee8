package org.godwithoist.chat.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import org.godwithoist.accounting.Usage;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Workspace;
import org.godwithoist.chat.AnswerSink;
import org.godwithoist.chat.ChatRequest;
import org.godwithoist.chat.ChatService;
import org.godwithoist.chat.EngineEvent;
import org.godwithoist.core.Priority;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;

/** The OpenAI-style front for callers. */
public final class ChatFront {
    private static final long MAX_BODY_BYTES = 4L << 20;
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);
    private static final String BEARER = "Bearer ";
    private static final int BYTES_PER_TOKEN = 4;

    private final Supplier<Optional<Bundle>> bundle;
    private final ChatService service;

    /**
     * Makes the front.
     *
     * @param bundle bundle in force; empty while the daemon has none
     */
    public ChatFront(Supplier<Optional<Bundle>> bundle, ChatService service) {
        this.bundle = bundle;
        this.service = service;
    }

    /** Adds the routes to a router. */
    public void mount(Router router) {
        router.post("/v1/chat/completions")
                .handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES))
                .handler(c -> Tasks.start("caller-" + c.request().remoteAddress(), () -> serve(c)));
        router.get("/v1/models").handler(this::listModels);
    }

    private void serve(RoutingContext c) {
        String requestId =
                Optional.ofNullable(c.request().getHeader("X-Request-Id"))
                        .orElseGet(() -> UUID.randomUUID().toString());
        try {
            JsonObject body = body(c);
            ChatRequest request = request(c, new RequestId(requestId), body);
            boolean stream = body.getBoolean("stream", false);
            AnswerSink sink =
                    stream
                            ? new StreamSink(c.response(), request)
                            : new WholeSink(c.response(), request);
            service.serve(request, sink);
        } catch (RequestException e) {
            fail(c, requestId, e);
        } catch (IllegalArgumentException e) {
            fail(c, requestId, RequestException.notRun(ErrorCode.BAD_REQUEST, e.getMessage()));
        }
    }

    // ---- reading

    private ChatRequest request(RoutingContext c, RequestId id, JsonObject body) {
        Bundle b = currentBundle();
        Workspace workspace = authenticate(c, b);
        Priority asked =
                Optional.ofNullable(c.request().getHeader("X-Priority"))
                        .flatMap(Priority::fromWireName)
                        .orElse(Priority.INTERACTIVE);
        Priority priority =
                asked.precedes(workspace.maxPriority()) ? workspace.maxPriority() : asked;
        String text = body.encode();
        return new ChatRequest(
                id,
                workspace.id(),
                chatId(c, workspace, body),
                new ModelId(body.getString("model", "")),
                priority,
                Deadline.after(b.serviceLevels().get(priority).deadline(), Ticker.SYSTEM),
                text.length() / BYTES_PER_TOKEN,
                text,
                Optional.empty());
    }

    private Bundle currentBundle() {
        return bundle.get()
                .orElseThrow(
                        () ->
                                RequestException.notRun(
                                        ErrorCode.NOT_READY, "this daemon has no bundle yet"));
    }

    private static Workspace authenticate(RoutingContext c, Bundle b) {
        String header = c.request().getHeader("Authorization");
        if (header == null || !header.startsWith(BEARER)) {
            throw RequestException.notRun(
                    ErrorCode.UNAUTHENTICATED, "the Authorization header has no bearer key");
        }
        return b.workspaceByKeyHash(sha256(header.substring(BEARER.length())))
                .orElseThrow(
                        () ->
                                RequestException.notRun(
                                        ErrorCode.UNAUTHENTICATED, "the key is not known"));
    }

    private static JsonObject body(RoutingContext c) {
        try {
            JsonObject body = c.body().asJsonObject();
            if (body != null && body.getValue("messages") instanceof JsonArray) {
                return body;
            }
        } catch (RuntimeException e) {
            throw RequestException.notRun(ErrorCode.BAD_REQUEST, "the body is not JSON")
                    .withCause(e);
        }
        throw RequestException.notRun(ErrorCode.BAD_REQUEST, "the body has no list of messages");
    }

    private static ChatId chatId(RoutingContext c, Workspace workspace, JsonObject body) {
        String given = c.request().getHeader("X-Chat-Id");
        if (given != null) {
            return new ChatId(given);
        }
        JsonArray messages = body.getJsonArray("messages");
        String first = messages.isEmpty() ? "" : messages.getValue(0).toString();
        return new ChatId(sha256(workspace.id() + first));
    }

    private static String sha256(String text) {
        try {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    // ---- answering

    private void listModels(RoutingContext c) {
        JsonArray list = new JsonArray();
        bundle.get()
                .ifPresent(
                        b ->
                                b.models().keySet().stream()
                                        .sorted()
                                        .forEach(
                                                m ->
                                                        list.add(
                                                                new JsonObject()
                                                                        .put("id", m.value())
                                                                        .put("object", "model"))));
        c.json(new JsonObject().put("object", "list").put("data", list));
    }

    private static void fail(RoutingContext c, String requestId, RequestException e) {
        HttpServerResponse response = c.response();
        if (response.headWritten()) {
            // The caller sees a stream without its end mark and knows that the answer is not whole.
            response.reset();
            return;
        }
        JsonObject error =
                new JsonObject()
                        .put("code", e.code().wireName())
                        .put("message", e.getMessage())
                        .put("request_id", requestId)
                        .put("run_state", e.runState().wireName());
        e.retryAfter()
                .ifPresent(t -> response.putHeader("Retry-After", Long.toString(t.toSeconds())));
        response.setStatusCode(e.code().httpStatus())
                .putHeader("X-Request-Id", requestId)
                .putHeader("X-Run-State", e.runState().wireName())
                .putHeader("Content-Type", "application/json")
                .end(new JsonObject().put("error", error).encode());
    }

    /** Streams an answer as server-sent events. */
    private static final class StreamSink implements AnswerSink {
        private final HttpServerResponse response;
        private final ChatRequest request;

        StreamSink(HttpServerResponse response, ChatRequest request) {
            this.response = response;
            this.request = request;
        }

        @Override
        public boolean piece(EngineEvent.Piece piece) {
            start();
            if (response.closed()) {
                return false;
            }
            String event = "id: " + piece.offset() + "\ndata: " + piece.data() + "\n\n";
            Await.result(response.write(event), WRITE_TIMEOUT);
            return true;
        }

        @Override
        public void end(Usage usage) {
            start();
            response.end("data: [DONE]\n\n");
        }

        private void start() {
            if (response.headWritten()) {
                return;
            }
            response.setChunked(true)
                    .putHeader("Content-Type", "text/event-stream")
                    .putHeader("X-Request-Id", request.id().value());
        }
    }

    /** Collects an answer and sends it as one JSON document. */
    private static final class WholeSink implements AnswerSink {
        private final HttpServerResponse response;
        private final ChatRequest request;
        private final StringBuilder text = new StringBuilder();

        WholeSink(HttpServerResponse response, ChatRequest request) {
            this.response = response;
            this.request = request;
        }

        @Override
        public boolean piece(EngineEvent.Piece piece) {
            text.append(piece.text());
            return !response.closed();
        }

        @Override
        public void end(Usage usage) {
            JsonObject message =
                    new JsonObject().put("role", "assistant").put("content", text.toString());
            JsonObject choice =
                    new JsonObject()
                            .put("index", 0)
                            .put("message", message)
                            .put("finish_reason", "stop");
            JsonObject answer =
                    new JsonObject()
                            .put("id", request.id().value())
                            .put("object", "chat.completion")
                            .put("model", request.model().value())
                            .put("choices", new JsonArray().add(choice))
                            .put("usage", ChatJson.usage(usage))
                            .put("run_state", RunState.RAN.wireName());
            response.putHeader("Content-Type", "application/json")
                    .putHeader("X-Request-Id", request.id().value())
                    .putHeader("X-Run-State", RunState.RAN.wireName())
                    .end(answer.encode());
        }
    }
}
