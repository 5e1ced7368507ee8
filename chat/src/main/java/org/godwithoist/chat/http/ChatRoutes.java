package org.godwithoist.chat.http;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Workspace;
import org.godwithoist.chat.ChatService;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;

/** The OpenAI-style HTTP API for callers. It only decodes requests and encodes responses. */
public final class ChatRoutes {
    /** Maximum length of a request body, in bytes. */
    public static final long MAX_BODY_BYTES = 4L << 20;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final String COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String REQUEST_ID = "requestId";
    private static final String RECEIVE_TIMER = "receiveTimer";
    private static final String WORKSPACE = "workspace";

    private final Supplier<Optional<Bundle>> bundle;
    private final ChatService service;
    private final Duration receiveTimeout;
    private final RequestDecoder decoder = new RequestDecoder();
    private final long created = Instant.now().getEpochSecond();

    /**
     * Creates the routes; {@link #mount} adds them to a router.
     *
     * @param bundle bundle in force; empty while the daemon has none
     */
    public ChatRoutes(Supplier<Optional<Bundle>> bundle, ChatService service) {
        this(bundle, service, RECEIVE_TIMEOUT);
    }

    ChatRoutes(Supplier<Optional<Bundle>> bundle, ChatService service, Duration receiveTimeout) {
        this.bundle = bundle;
        this.service = service;
        this.receiveTimeout = receiveTimeout;
    }

    /** Adds the routes to a router. The last one rejects any other path below {@code /v1/}. */
    public void mount(Router router) {
        BodyBudget memory =
                BodyBudget.ofHeap(Runtime.getRuntime().maxMemory(), MAX_BODY_BYTES, Ticker.SYSTEM);
        router.post(COMPLETIONS_PATH)
                .handler(this::startReceiving)
                .handler(new BodyReceiver(memory, MAX_BODY_BYTES, this::bodyReceived))
                .failureHandler(this::handleFailure);
        router.get("/v1/models").handler(this::listModels).failureHandler(this::handleFailure);
        router.get("/v1/models/:model")
                .handler(this::showModel)
                .failureHandler(this::handleFailure);
        router.route("/v1/*")
                .last()
                .handler(this::pathNotFound)
                .failureHandler(this::handleFailure);
    }

    // ---- chat completions

    /** Authenticates the caller before the body takes memory, and starts the receive timeout. */
    private void startReceiving(RoutingContext c) {
        RequestId id =
                RequestDecoder.requestId(c.request().headers())
                        .orElseGet(() -> new RequestId(UUID.randomUUID().toString()));
        c.put(REQUEST_ID, id.value());
        c.put(WORKSPACE, decoder.authenticate(c.request().headers(), currentBundle()));
        long timer = c.vertx().setTimer(receiveTimeout.toMillis(), t -> c.fail(receiveTimedOut()));
        c.put(RECEIVE_TIMER, timer);
        c.addEndHandler(v -> c.vertx().cancelTimer(timer));
        c.next();
    }

    private RequestException receiveTimedOut() {
        return RequestException.notRun(
                ErrorCode.REQUEST_TIMEOUT,
                "the request was not received within " + receiveTimeout.toMillis() + " ms");
    }

    private void bodyReceived(RoutingContext c, BodyReceiver.Body body) {
        c.vertx().cancelTimer(c.<Long>get(RECEIVE_TIMER));
        Tasks.start("caller-" + c.request().remoteAddress(), () -> serveAndRelease(c, body));
    }

    private void serveAndRelease(RoutingContext c, BodyReceiver.Body body) {
        try {
            serve(c, body.bytes());
        } finally {
            body.claim().release();
        }
    }

    private void serve(RoutingContext c, Buffer body) {
        RequestId id = new RequestId(c.get(REQUEST_ID));
        EventStreamSink stream = null;
        try {
            Workspace workspace = c.get(WORKSPACE);
            RequestDecoder.DecodedRequest decoded =
                    decoder.decode(id, c.request().headers(), body, workspace, currentBundle());
            if (decoded.stream()) {
                stream =
                        new EventStreamSink(
                                c.response(), decoded.request(), decoded.includeUsage());
                service.serve(decoded.request(), stream);
            } else {
                service.serve(decoded.request(), new BufferedSink(c.response(), decoded.request()));
            }
        } catch (RequestException e) {
            sendFailure(c, stream, e);
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("internal error while serving request %s", id);
            RequestException failure =
                    RequestException.unknown(ErrorCode.INTERNAL, "internal error of the daemon");
            sendFailure(c, stream, failure.withCause(e));
        }
    }

    private static void sendFailure(RoutingContext c, EventStreamSink stream, RequestException e) {
        HttpServerResponse response = c.response();
        if (response.closed() || response.ended()) {
            return;
        }
        if (!response.headWritten()) {
            ErrorBody.send(response, c.get(REQUEST_ID), e);
        } else if (stream != null) {
            stream.fail(e);
        }
    }

    private Bundle currentBundle() {
        return bundle.get()
                .orElseThrow(
                        () ->
                                RequestException.notRun(
                                                ErrorCode.NOT_READY,
                                                "this daemon has no bundle yet")
                                        .withRetryAfter(RETRY_AFTER));
    }

    // ---- models

    private void listModels(RoutingContext c) {
        authenticateIfGiven(c);
        JsonArray list = new JsonArray();
        bundle.get()
                .ifPresent(
                        b ->
                                b.models().keySet().stream()
                                        .sorted()
                                        .forEach(m -> list.add(model(m.value()))));
        c.json(new JsonObject().put("object", "list").put("data", list));
    }

    private void showModel(RoutingContext c) {
        authenticateIfGiven(c);
        String name = c.pathParam("model");
        boolean known =
                currentBundle().models().keySet().stream().anyMatch(m -> m.value().equals(name));
        if (!known) {
            throw RequestException.notRun(ErrorCode.NOT_FOUND, "there is no model " + name);
        }
        c.json(model(name));
    }

    /** The list contains no secrets, so it needs no key; a wrong key is still an error. */
    private void authenticateIfGiven(RoutingContext c) {
        if (c.request().getHeader("Authorization") != null) {
            decoder.authenticate(c.request().headers(), currentBundle());
        }
    }

    private JsonObject model(String name) {
        return new JsonObject()
                .put("id", name)
                .put("object", "model")
                .put("created", created)
                .put("owned_by", "godwithoist");
    }

    // ---- failures before the request is served

    private void pathNotFound(RoutingContext c) {
        c.fail(RequestException.notRun(ErrorCode.NOT_FOUND, "there is no such path below /v1/"));
    }

    private void handleFailure(RoutingContext c) {
        if (c.response().ended() || c.response().headWritten()) {
            return;
        }
        RequestException e;
        if (c.failure() instanceof RequestException known) {
            e = known;
        } else {
            LOG.atInfo().withCause(c.failure()).log(
                    "request failed before it was decoded; rejecting it as bad_request");
            e = RequestException.notRun(ErrorCode.BAD_REQUEST, "the request cannot be read");
        }
        String id =
                Optional.<String>ofNullable(c.get(REQUEST_ID)).orElse(UUID.randomUUID().toString());
        // The rest of the request is not read, so the connection cannot be reused.
        boolean unread = !c.request().isEnded();
        if (unread) {
            c.response().putHeader("Connection", "close");
            c.addEndHandler(v -> c.request().connection().close());
        }
        ErrorBody.send(c.response(), id, e);
    }
}
