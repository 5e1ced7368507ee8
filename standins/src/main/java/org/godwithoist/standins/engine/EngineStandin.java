package org.godwithoist.standins.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.core.Priority;
import org.godwithoist.core.http.HttpServers;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.standins.RequestIdHeader;

/**
 * Stand-in for a model engine with continuous batching, a bounded prompt cache, request priorities,
 * resumable and cancellable streams, and load reports that lag. The state is accessed without locks
 * because all handlers run on one event loop; the process must have a single event loop.
 */
public final class EngineStandin {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_WORDS = 8;
    private static final long KEEPALIVE_MS = 250;
    private static final long LOAD_SAMPLE_MS = 50;
    private static final long ORPHAN_TIMEOUT_MS = 30_000;
    private static final long IMPORT_MICROS_PER_TOKEN = 10;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Share by which each further running request increases the time between tokens. */
    private static final double BATCH_SLOWDOWN = 0.05;

    private final Vertx vertx;
    private final String id;
    private final EngineOptions options;
    private final EngineFaults faults = new EngineFaults();
    private final EngineLog log = new EngineLog();
    private final PromptCache cache;
    private final LoadHistory loadHistory;
    private final Map<String, Generation> generations = new LinkedHashMap<>();
    private final Map<String, Long> fencingNumbers = new HashMap<>();
    private final List<Generation> queue = new ArrayList<>();
    private int running;
    private int responsesWhileCold;
    private boolean cold = true;
    private boolean modelLoaded = true;
    private long incarnation;

    /** Creates an engine that is cold and has an empty cache. */
    public EngineStandin(Vertx vertx, String id, EngineOptions options) {
        this.vertx = vertx;
        this.id = id;
        this.options = options;
        this.cache = new PromptCache(options);
        this.loadHistory = new LoadHistory(options.loadLagMillis());
        this.incarnation = options.incarnation();
    }

    /** Starts the server; the future fails if the port cannot be bound. */
    public Future<HttpServer> listen(Endpoint endpoint) {
        sampleLoad();
        vertx.setPeriodic(LOAD_SAMPLE_MS, t -> sampleLoad());
        vertx.setPeriodic(KEEPALIVE_MS, t -> generations.values().forEach(Generation::keepAlive));
        return vertx.createHttpServer(HttpServers.http1Options())
                .requestHandler(routes())
                .listen(endpoint.port(), endpoint.ip());
    }

    private Router routes() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false)).handler(RequestIdHeader.handler());
        router.post("/v1/chat/completions").handler(this::createCompletion);
        router.get("/v1/requests/:id/stream").handler(this::resume);
        router.get("/v1/requests/:id").handler(this::describe);
        router.delete("/v1/requests/:id").handler(this::cancel);
        router.get("/v1/load").handler(context -> context.json(loadHistory.read()));
        router.get("/v1/cache/events").handler(this::cacheEvents);
        router.post("/v1/kv/export").handler(this::exportCache);
        router.post("/v1/kv/import").handler(this::importCache);
        router.post("/v1/orders").handler(this::executeOrder);
        router.post("/faults").handler(this::setFaults);
        router.get("/log")
                .handler(context -> context.json(new JsonObject().put("log", log.entries())));
        return router;
    }

    // ---- requests

    private void createCompletion(RoutingContext context) {
        if (faults.reject()) {
            context.response().setStatusCode(UNAVAILABLE).end();
            return;
        }
        HttpServerRequest httpRequest = context.request();
        String requestId = httpRequest.getHeader("X-Request-Id");
        if (requestId == null || generations.containsKey(requestId)) {
            context.response().setStatusCode(BAD_REQUEST).end();
            return;
        }
        Generation generation =
                createGeneration(
                        httpRequest,
                        requestId,
                        context.body().asJsonObject(),
                        context.body().length());
        generations.put(requestId, generation);
        context.response()
                .closeHandler(
                        v -> vertx.setTimer(ORPHAN_TIMEOUT_MS, t -> endIfOrphaned(generation)));
        queue.add(generation);
        log.add(
                EngineLog.Kind.ACCEPTED,
                generation.describe().put("in_progress", inProgress()).put("cold", cold));
        if (faults.hang()) {
            return;
        }
        generation.attach(context.response(), 0);
        startQueued();
    }

    private Generation createGeneration(
            HttpServerRequest httpRequest, String requestId, JsonObject body, int bytes) {
        String prompt = body.getJsonArray("messages").encode();
        String generatedText = body.getString("continue_from", "");
        String chat = Optional.ofNullable(httpRequest.getHeader("X-Chat-Id")).orElse(requestId);
        int words = body.getInteger("max_tokens", DEFAULT_WORDS);
        long promptTokens = Math.max(1, bytes / BYTES_PER_TOKEN);
        long cached = Math.min(promptTokens, cache.cachedTokens(chat));
        Priority priority =
                Optional.ofNullable(httpRequest.getHeader("X-Priority"))
                        .flatMap(Priority::fromWireName)
                        .orElse(Priority.INTERACTIVE);
        return new Generation(
                id,
                requestId,
                Optional.ofNullable(httpRequest.getHeader("X-Workspace")).orElse(""),
                chat,
                priority,
                prompt,
                GeneratedText.countWords(generatedText) + 1,
                words,
                promptTokens,
                cached);
    }

    private void resume(RoutingContext context) {
        Generation generation = generations.get(context.pathParam("id"));
        if (generation == null || generation.state() == Generation.State.CANCELLED) {
            context.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        generation.attach(context.response(), Integer.parseInt(context.queryParams().get("from")));
    }

    private void describe(RoutingContext context) {
        Generation generation = generations.get(context.pathParam("id"));
        if (generation == null) {
            context.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        context.json(
                new JsonObject()
                        .put("state", generation.state().wireName())
                        .put("usage", generation.usage()));
    }

    private void cancel(RoutingContext context) {
        Generation generation = generations.get(context.pathParam("id"));
        if (generation == null) {
            context.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        end(generation, Generation.State.CANCELLED);
        context.json(
                new JsonObject()
                        .put("state", generation.state().wireName())
                        .put("usage", generation.usage()));
    }

    private void endIfOrphaned(Generation generation) {
        if (!generation.hasReader()) {
            end(generation, Generation.State.CANCELLED);
        }
    }

    // ---- generation

    private void startQueued() {
        queue.sort(Comparator.comparing(Generation::priority));
        while (running < options.slots() && !queue.isEmpty()) {
            Generation generation = queue.remove(0);
            generation.setState(Generation.State.RUNNING);
            running++;
            long prefill =
                    generation.uncachedTokens()
                            * options.prefillMicrosPerToken()
                            / MICROS_PER_MILLI;
            vertx.setTimer(1 + prefill * slowdown(), t -> generateWord(generation));
        }
    }

    private void generateWord(Generation generation) {
        if (generation.state().isOver()) {
            return;
        }
        if (!generation.hasNext()) {
            end(generation, Generation.State.FINISHED);
            return;
        }
        int word = generation.generateNext();
        generation.flush(faults.duplicate());
        if (faults.consumeCut(word)) {
            generation.cut();
        }
        double batch = 1 + BATCH_SLOWDOWN * (running - 1);
        long interval = Math.max(1, Math.round(options.tokenMillis() * batch)) * slowdown();
        vertx.setTimer(interval, t -> generateWord(generation));
    }

    private void end(Generation generation, Generation.State state) {
        if (generation.state().isOver()) {
            return;
        }
        if (generation.state() == Generation.State.RUNNING) {
            running--;
        }
        queue.remove(generation);
        generation.setState(state);
        cache.put(generation.chat(), generation.totalTokens());
        var kind =
                state == Generation.State.FINISHED
                        ? EngineLog.Kind.FINISHED
                        : EngineLog.Kind.CANCELLED;
        log.add(kind, generation.describe());
        generation.flush(false);
        countResponse();
        startQueued();
    }

    private void countResponse() {
        responsesWhileCold++;
        if (cold && responsesWhileCold >= options.warmupResponses()) {
            cold = false;
        }
    }

    private int inProgress() {
        return running + queue.size();
    }

    private int slowdown() {
        return faults.slowFactor() * (cold ? options.coldSlowdown() : 1);
    }

    // ---- cache, load and orders

    private void cacheEvents(RoutingContext context) {
        long after = Long.parseLong(context.queryParams().get("after"));
        context.json(new JsonObject().put("events", cache.eventsAfter(after)));
    }

    private void exportCache(RoutingContext context) {
        String chat = context.body().asJsonObject().getString("chat");
        long tokens = cache.cachedTokens(chat);
        if (tokens == 0) {
            context.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        JsonObject object = new JsonObject().put("chat", chat).put("tokens", tokens);
        context.json(new JsonObject().put("object", object.encode()).put("tokens", tokens));
    }

    private void importCache(RoutingContext context) {
        JsonObject object = new JsonObject(context.body().asJsonObject().getString("object"));
        long tokens = object.getLong("tokens");
        long millis = 1 + tokens * IMPORT_MICROS_PER_TOKEN / MICROS_PER_MILLI;
        vertx.setTimer(
                millis,
                t -> {
                    cache.put(object.getString("chat"), tokens);
                    context.json(new JsonObject().put("tokens", tokens));
                });
    }

    private void executeOrder(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        String kind = body.getString("kind");
        long number = body.getLong("fencing", 0L);
        if (options.checksFencing() && number < fencingNumbers.getOrDefault(kind, 0L)) {
            log.add(EngineLog.Kind.ORDER_REFUSED, new JsonObject().put("order", body));
            context.response().setStatusCode(CONFLICT).end();
            return;
        }
        fencingNumbers.merge(kind, number, Math::max);
        log.add(EngineLog.Kind.ORDER, new JsonObject().put("order", body));
        modelLoaded = true;
        context.json(new JsonObject());
    }

    private void sampleLoad() {
        JsonArray ids = new JsonArray();
        generations.values().stream()
                .filter(generation -> !generation.state().isOver())
                .forEach(generation -> ids.add(generation.id()));
        loadHistory.add(
                new JsonObject()
                        .put("incarnation", incarnation)
                        .put("running", running)
                        .put("queued", queue.size())
                        .put("model_loaded", modelLoaded)
                        .put("running_requests", ids));
    }

    // ---- faults

    private void setFaults(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        faults.set(body);
        if (body.getBoolean("mute_open_connections", false)) {
            generations.values().forEach(Generation::mute);
        }
        if (body.getBoolean("cut_open_connections", false)) {
            generations.values().forEach(Generation::cut);
        }
        if (body.getBoolean("turn_cold", false)) {
            becomeCold(body.getBoolean("announce", false));
        }
        context.json(new JsonObject());
    }

    private void becomeCold(boolean announce) {
        cold = true;
        responsesWhileCold = 0;
        cache.clear();
        if (announce) {
            incarnation++;
        }
        log.add(EngineLog.Kind.COLD, new JsonObject());
    }
}
