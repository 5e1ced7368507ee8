package org.godwithoist.standins.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.godwithoist.core.http.HttpServers;
import org.godwithoist.core.id.Endpoint;

/**
 * Stand-in for the platform services. Keeps tables, objects and the host list in memory and counts
 * reads and writes. The state is accessed without locks because all handlers run on one event loop;
 * the process must have a single event loop.
 */
public final class PlatformStandin {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final long ANY_VERSION = -1;
    private static final long WEIGHT_GRANT_INTERVAL_MS = 1_000;

    private final Vertx vertx;
    private final PlatformFaults faults = new PlatformFaults();
    private final Map<String, NavigableMap<String, JsonObject>> tables = new HashMap<>();
    private final Map<String, Buffer> objects = new HashMap<>();
    private final Map<String, Long> lastWeightGrantMillis = new HashMap<>();
    private final Map<String, Long> writesByTable = new TreeMap<>();
    private final HostHistory hosts = new HostHistory();
    private long lastVersion;
    private long reads;
    private long writes;

    /** Creates a stand-in without tables, objects or hosts. */
    public PlatformStandin(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Starts the server; the future fails if the port cannot be bound. */
    public Future<HttpServer> listen(Endpoint endpoint) {
        return vertx.createHttpServer(HttpServers.http1Options())
                .requestHandler(routes())
                .listen(endpoint.port(), endpoint.ip());
    }

    private Router routes() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/faults").handler(this::setFaults);
        router.get("/log").handler(this::getCounts);
        router.put("/hosts").handler(this::putHosts);
        router.route().handler(this::applyFaults);
        router.get("/tables/:table/rows/:key").handler(this::read);
        router.get("/tables/:table/rows").handler(this::scan);
        router.post("/commit").handler(this::commit);
        router.put("/objects/:key").handler(this::putObject);
        router.get("/objects/:key").handler(this::getObject);
        router.get("/hosts").handler(this::listHosts);
        router.post("/weights/:name/acquire").handler(this::acquireWeight);
        return router;
    }

    // ---- faults

    private void setFaults(RoutingContext context) {
        faults.set(context.body().asJsonObject());
        context.json(new JsonObject());
    }

    private void applyFaults(RoutingContext context) {
        if (faults.down()) {
            context.response().setStatusCode(UNAVAILABLE).end();
            return;
        }
        if (faults.unresponsive()) {
            return;
        }
        if (faults.delayMillis() == 0) {
            context.next();
            return;
        }
        vertx.setTimer(faults.delayMillis(), t -> context.next());
    }

    private void getCounts(RoutingContext context) {
        JsonObject byTable = new JsonObject();
        writesByTable.forEach(byTable::put);
        context.json(
                new JsonObject()
                        .put("reads", reads)
                        .put("writes", writes)
                        .put("writes_by_table", byTable));
    }

    // ---- tables

    private void read(RoutingContext context) {
        reads++;
        JsonObject row = table(context.pathParam("table")).get(context.pathParam("key"));
        if (row == null) {
            context.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        context.json(row);
    }

    private void scan(RoutingContext context) {
        reads++;
        String prefix = Optional.ofNullable(context.queryParams().get("prefix")).orElse("");
        JsonArray rows = new JsonArray();
        table(context.pathParam("table")).tailMap(prefix, true).entrySet().stream()
                .takeWhile(e -> e.getKey().startsWith(prefix))
                .forEach(e -> rows.add(e.getValue()));
        context.json(new JsonObject().put("rows", rows));
    }

    private void commit(RoutingContext context) {
        if (faults.consumeLostRequest()) {
            context.request().connection().close();
            return;
        }
        JsonArray writeList = context.body().asJsonObject().getJsonArray("writes");
        Optional<JsonObject> conflict = findConflict(writeList);
        if (conflict.isPresent()) {
            context.response().setStatusCode(CONFLICT);
            context.json(conflict.get());
            return;
        }
        JsonArray versions = new JsonArray();
        for (Object o : writeList) {
            versions.add(apply((JsonObject) o));
        }
        if (faults.consumeLostResponse()) {
            context.request().connection().close();
            return;
        }
        context.json(new JsonObject().put("versions", versions));
    }

    private Optional<JsonObject> findConflict(JsonArray writeList) {
        for (Object o : writeList) {
            JsonObject write = (JsonObject) o;
            JsonObject row = table(write.getString("table")).get(write.getString("key"));
            long version = row == null ? 0 : row.getLong("version");
            long expected = write.getLong("expected");
            if (expected != ANY_VERSION && expected != version) {
                return Optional.of(
                        new JsonObject()
                                .put("table", write.getString("table"))
                                .put("key", write.getString("key")));
            }
        }
        return Optional.empty();
    }

    private long apply(JsonObject write) {
        writes++;
        writesByTable.merge(write.getString("table"), 1L, Long::sum);
        var table = table(write.getString("table"));
        String key = write.getString("key");
        if (write.getString("value") == null) {
            table.remove(key);
            return 0;
        }
        lastVersion++;
        table.put(
                key,
                new JsonObject()
                        .put("key", key)
                        .put("version", lastVersion)
                        .put("value", write.getString("value")));
        return lastVersion;
    }

    private NavigableMap<String, JsonObject> table(String name) {
        return tables.computeIfAbsent(name, n -> new TreeMap<>());
    }

    // ---- objects, hosts and weights

    private void putObject(RoutingContext context) {
        writes++;
        objects.put(context.pathParam("key"), context.body().buffer());
        context.json(new JsonObject());
    }

    private void getObject(RoutingContext context) {
        reads++;
        Buffer content = objects.get(context.pathParam("key"));
        if (content == null) {
            context.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        context.end(content);
    }

    private void putHosts(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        if (body == null || body.getJsonArray("hosts") == null) {
            context.response().setStatusCode(BAD_REQUEST).end();
            return;
        }
        hosts.add(body.getJsonArray("hosts"));
        context.json(new JsonObject());
    }

    private void listHosts(RoutingContext context) {
        reads++;
        context.json(new JsonObject().put("hosts", hosts.read(faults.hostLagMillis())));
    }

    private void acquireWeight(RoutingContext context) {
        String name = context.pathParam("name");
        long now = System.currentTimeMillis();
        Long last = lastWeightGrantMillis.get(name);
        if (last != null && now - last < WEIGHT_GRANT_INTERVAL_MS) {
            context.response().putHeader("Retry-After", "1");
            context.response().setStatusCode(TOO_MANY_REQUESTS).end();
            return;
        }
        lastWeightGrantMillis.put(name, now);
        context.json(new JsonObject().put("granted", true));
    }
}
