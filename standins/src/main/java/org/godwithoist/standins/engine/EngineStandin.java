package org.godwithoist.standins.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.HashMap;
import java.util.Map;
import org.godwithoist.core.id.Endpoint;

/** Generates a fixed number of words at a fixed speed and counts them. Runs on one event loop. */
public final class EngineStandin {
    private static final int WORDS = 8;
    private static final long WORD_MS = 5;
    private static final int BYTES_PER_TOKEN = 4;

    private final Vertx vertx;
    private final String id;
    private final JsonArray log = new JsonArray();
    private final Map<String, Integer> cachedTokens = new HashMap<>();

    /** Makes an engine. */
    public EngineStandin(Vertx vertx, String id) {
        this.vertx = vertx;
        this.id = id;
    }

    /** Starts to listen. */
    public Future<HttpServer> listen(Endpoint endpoint) {
        Router router = Router.router(vertx);
        router.post("/v1/chat/completions")
                .handler(BodyHandler.create(false))
                .handler(this::complete);
        router.get("/log").handler(c -> c.json(new JsonObject().put("log", log)));
        return vertx.createHttpServer()
                .requestHandler(router)
                .listen(endpoint.port(), endpoint.ip());
    }

    private void complete(RoutingContext c) {
        String request = c.request().getHeader("X-Request-Id");
        String chat = c.request().getHeader("X-Chat-Id");
        int prompt = c.body().length() / BYTES_PER_TOKEN;
        int cached = Math.min(prompt, cachedTokens.getOrDefault(chat, 0));
        JsonObject usage =
                new JsonObject()
                        .put("prompt_tokens", prompt)
                        .put("completion_tokens", WORDS)
                        .put(
                                "prompt_tokens_details",
                                new JsonObject().put("cached_tokens", cached));
        cachedTokens.put(chat, prompt);
        c.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
        sendWord(c.response(), request, 1, usage);
    }

    private void sendWord(HttpServerResponse response, String request, int word, JsonObject usage) {
        if (response.closed()) {
            return;
        }
        if (word > WORDS) {
            log.add(new JsonObject().put("request", request).put("usage", usage));
            JsonObject last = chunk(new JsonObject()).put("usage", usage);
            response.end("data: " + last.encode() + "\n\ndata: [DONE]\n\n");
            return;
        }
        JsonObject delta = new JsonObject().put("content", "word" + word + " ");
        response.write("id: " + word + "\ndata: " + chunk(delta).encode() + "\n\n");
        vertx.setTimer(WORD_MS, t -> sendWord(response, request, word + 1, usage));
    }

    private JsonObject chunk(JsonObject delta) {
        JsonObject choice = new JsonObject().put("index", 0).put("delta", delta);
        return new JsonObject()
                .put("object", "chat.completion.chunk")
                .put("system_fingerprint", id)
                .put("choices", new JsonArray().add(choice));
    }
}
