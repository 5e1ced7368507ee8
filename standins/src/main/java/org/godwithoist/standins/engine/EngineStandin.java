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

    /** Increase of the time between tokens for each further running request, as a share. */
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
        router.route().handler(BodyHandler.create(false));
        router.post("/v1/chat/completions").handler(this::createCompletion);
        router.get("/v1/requests/:id/stream").handler(this::resume);
        router.get("/v1/requests/:id").handler(this::describe);
        router.delete("/v1/requests/:id").handler(this::cancel);
        router.get("/v1/load").handler(c -> c.json(loadHistory.read()));
        router.get("/v1/cache/events").handler(this::cacheEvents);
        router.post("/v1/kv/export").handler(this::exportCache);
        router.post("/v1/kv/import").handler(this::importCache);
        router.post("/v1/orders").handler(this::executeOrder);
        router.post("/faults").handler(this::setFaults);
        router.get("/log").handler(c -> c.json(new JsonObject().put("log", log.entries())));
        return router;
    }

    // ---- requests

    private void createCompletion(RoutingContext c) {
        if (faults.reject()) {
            c.response().setStatusCode(UNAVAILABLE).end();
            return;
        }
        HttpServerRequest r = c.request();
        String request = r.getHeader("X-Request-Id");
        if (request == null || generations.containsKey(request)) {
            c.response().setStatusCode(BAD_REQUEST).end();
            return;
        }
        Generation g = generation(r, request, c.body().asJsonObject(), c.body().length());
        generations.put(request, g);
        c.response().closeHandler(v -> vertx.setTimer(ORPHAN_TIMEOUT_MS, t -> endIfOrphaned(g)));
        queue.add(g);
        log.add(
                EngineLog.Kind.ACCEPTED,
                g.describe().put("in_progress", inProgress()).put("cold", cold));
        if (faults.hang()) {
            return;
        }
        g.attach(c.response(), 0);
        startQueued();
    }

    private Generation generation(HttpServerRequest r, String request, JsonObject body, int bytes) {
        String prompt = body.getJsonArray("messages").encode();
        String generatedText = body.getString("continue_from", "");
        String chat = Optional.ofNullable(r.getHeader("X-Chat-Id")).orElse(request);
        int words = body.getInteger("max_tokens", DEFAULT_WORDS);
        long promptTokens = Math.max(1, bytes / BYTES_PER_TOKEN);
        long cached = Math.min(promptTokens, cache.cachedTokens(chat));
        Priority priority =
                Optional.ofNullable(r.getHeader("X-Priority"))
                        .flatMap(Priority::fromWireName)
                        .orElse(Priority.INTERACTIVE);
        return new Generation(
                id,
                request,
                Optional.ofNullable(r.getHeader("X-Workspace")).orElse(""),
                chat,
                priority,
                prompt,
                GeneratedText.countWords(generatedText) + 1,
                words,
                promptTokens,
                cached);
    }

    private void resume(RoutingContext c) {
        Generation g = generations.get(c.pathParam("id"));
        if (g == null || g.state() == Generation.State.CANCELLED) {
            c.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        g.attach(c.response(), Integer.parseInt(c.queryParams().get("from")));
    }

    private void describe(RoutingContext c) {
        Generation g = generations.get(c.pathParam("id"));
        if (g == null) {
            c.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        c.json(new JsonObject().put("state", g.state().wireName()).put("usage", g.usage()));
    }

    private void cancel(RoutingContext c) {
        Generation g = generations.get(c.pathParam("id"));
        if (g == null) {
            c.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        end(g, Generation.State.CANCELLED);
        c.json(new JsonObject().put("state", g.state().wireName()).put("usage", g.usage()));
    }

    private void endIfOrphaned(Generation g) {
        if (!g.hasReader()) {
            end(g, Generation.State.CANCELLED);
        }
    }

    // ---- generation

    private void startQueued() {
        queue.sort(Comparator.comparing(Generation::priority));
        while (running < options.slots() && !queue.isEmpty()) {
            Generation g = queue.remove(0);
            g.setState(Generation.State.RUNNING);
            running++;
            long prefill = g.uncachedTokens() * options.prefillMicrosPerToken() / MICROS_PER_MILLI;
            vertx.setTimer(1 + prefill * slowdown(), t -> generateWord(g));
        }
    }

    private void generateWord(Generation g) {
        if (g.state().isOver()) {
            return;
        }
        if (!g.hasNext()) {
            end(g, Generation.State.FINISHED);
            return;
        }
        int word = g.generateNext();
        g.flush(faults.duplicate());
        if (faults.consumeCut(word)) {
            g.cut();
        }
        double batch = 1 + BATCH_SLOWDOWN * (running - 1);
        long interval = Math.max(1, Math.round(options.tokenMillis() * batch)) * slowdown();
        vertx.setTimer(interval, t -> generateWord(g));
    }

    private void end(Generation g, Generation.State state) {
        if (g.state().isOver()) {
            return;
        }
        if (g.state() == Generation.State.RUNNING) {
            running--;
        }
        queue.remove(g);
        g.setState(state);
        cache.put(g.chat(), g.totalTokens());
        var kind =
                state == Generation.State.FINISHED
                        ? EngineLog.Kind.FINISHED
                        : EngineLog.Kind.CANCELLED;
        log.add(kind, g.describe());
        g.flush(false);
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

    private void cacheEvents(RoutingContext c) {
        long after = Long.parseLong(c.queryParams().get("after"));
        c.json(new JsonObject().put("events", cache.eventsAfter(after)));
    }

    private void exportCache(RoutingContext c) {
        String chat = c.body().asJsonObject().getString("chat");
        long tokens = cache.cachedTokens(chat);
        if (tokens == 0) {
            c.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        JsonObject object = new JsonObject().put("chat", chat).put("tokens", tokens);
        c.json(new JsonObject().put("object", object.encode()).put("tokens", tokens));
    }

    private void importCache(RoutingContext c) {
        JsonObject object = new JsonObject(c.body().asJsonObject().getString("object"));
        long tokens = object.getLong("tokens");
        long millis = 1 + tokens * IMPORT_MICROS_PER_TOKEN / MICROS_PER_MILLI;
        vertx.setTimer(
                millis,
                t -> {
                    cache.put(object.getString("chat"), tokens);
                    c.json(new JsonObject().put("tokens", tokens));
                });
    }

    private void executeOrder(RoutingContext c) {
        JsonObject body = c.body().asJsonObject();
        String kind = body.getString("kind");
        long number = body.getLong("fencing", 0L);
        if (options.checksFencing() && number < fencingNumbers.getOrDefault(kind, 0L)) {
            log.add(EngineLog.Kind.ORDER_REFUSED, new JsonObject().put("order", body));
            c.response().setStatusCode(CONFLICT).end();
            return;
        }
        fencingNumbers.merge(kind, number, Math::max);
        log.add(EngineLog.Kind.ORDER, new JsonObject().put("order", body));
        modelLoaded = true;
        c.json(new JsonObject());
    }

    private void sampleLoad() {
        JsonArray ids = new JsonArray();
        generations.values().stream()
                .filter(g -> !g.state().isOver())
                .forEach(g -> ids.add(g.id()));
        loadHistory.add(
                new JsonObject()
                        .put("incarnation", incarnation)
                        .put("running", running)
                        .put("queued", queue.size())
                        .put("model_loaded", modelLoaded)
                        .put("running_requests", ids));
    }

    // ---- faults

    private void setFaults(RoutingContext c) {
        JsonObject body = c.body().asJsonObject();
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
        c.json(new JsonObject());
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
