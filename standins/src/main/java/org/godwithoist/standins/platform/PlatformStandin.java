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

    private void setFaults(RoutingContext c) {
        faults.set(c.body().asJsonObject());
        c.json(new JsonObject());
    }

    private void applyFaults(RoutingContext c) {
        if (faults.down()) {
            c.response().setStatusCode(UNAVAILABLE).end();
            return;
        }
        if (faults.unresponsive()) {
            return;
        }
        if (faults.delayMillis() == 0) {
            c.next();
            return;
        }
        vertx.setTimer(faults.delayMillis(), t -> c.next());
    }

    private void getCounts(RoutingContext c) {
        JsonObject byTable = new JsonObject();
        writesByTable.forEach(byTable::put);
        c.json(
                new JsonObject()
                        .put("reads", reads)
                        .put("writes", writes)
                        .put("writes_by_table", byTable));
    }

    // ---- tables

    private void read(RoutingContext c) {
        reads++;
        JsonObject row = table(c.pathParam("table")).get(c.pathParam("key"));
        if (row == null) {
            c.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        c.json(row);
    }

    private void scan(RoutingContext c) {
        reads++;
        String prefix = Optional.ofNullable(c.queryParams().get("prefix")).orElse("");
        JsonArray rows = new JsonArray();
        table(c.pathParam("table")).tailMap(prefix, true).entrySet().stream()
                .takeWhile(e -> e.getKey().startsWith(prefix))
                .forEach(e -> rows.add(e.getValue()));
        c.json(new JsonObject().put("rows", rows));
    }

    private void commit(RoutingContext c) {
        if (faults.consumeLostRequest()) {
            c.request().connection().close();
            return;
        }
        JsonArray list = c.body().asJsonObject().getJsonArray("writes");
        Optional<JsonObject> conflict = findConflict(list);
        if (conflict.isPresent()) {
            c.response().setStatusCode(CONFLICT);
            c.json(conflict.get());
            return;
        }
        JsonArray versions = new JsonArray();
        for (Object o : list) {
            versions.add(apply((JsonObject) o));
        }
        if (faults.consumeLostResponse()) {
            c.request().connection().close();
            return;
        }
        c.json(new JsonObject().put("versions", versions));
    }

    private Optional<JsonObject> findConflict(JsonArray list) {
        for (Object o : list) {
            JsonObject w = (JsonObject) o;
            JsonObject row = table(w.getString("table")).get(w.getString("key"));
            long version = row == null ? 0 : row.getLong("version");
            long expected = w.getLong("expected");
            if (expected != ANY_VERSION && expected != version) {
                return Optional.of(
                        new JsonObject()
                                .put("table", w.getString("table"))
                                .put("key", w.getString("key")));
            }
        }
        return Optional.empty();
    }

    private long apply(JsonObject w) {
        writes++;
        writesByTable.merge(w.getString("table"), 1L, Long::sum);
        var table = table(w.getString("table"));
        String key = w.getString("key");
        if (w.getString("value") == null) {
            table.remove(key);
            return 0;
        }
        lastVersion++;
        table.put(
                key,
                new JsonObject()
                        .put("key", key)
                        .put("version", lastVersion)
                        .put("value", w.getString("value")));
        return lastVersion;
    }

    private NavigableMap<String, JsonObject> table(String name) {
        return tables.computeIfAbsent(name, n -> new TreeMap<>());
    }

    // ---- objects, hosts and weights

    private void putObject(RoutingContext c) {
        writes++;
        objects.put(c.pathParam("key"), c.body().buffer());
        c.json(new JsonObject());
    }

    private void getObject(RoutingContext c) {
        reads++;
        Buffer content = objects.get(c.pathParam("key"));
        if (content == null) {
            c.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        c.end(content);
    }

    private void putHosts(RoutingContext c) {
        JsonObject body = c.body().asJsonObject();
        if (body == null || body.getJsonArray("hosts") == null) {
            c.response().setStatusCode(BAD_REQUEST).end();
            return;
        }
        hosts.add(body.getJsonArray("hosts"));
        c.json(new JsonObject());
    }

    private void listHosts(RoutingContext c) {
        reads++;
        c.json(new JsonObject().put("hosts", hosts.read(faults.hostLagMillis())));
    }

    private void acquireWeight(RoutingContext c) {
        String name = c.pathParam("name");
        long now = System.currentTimeMillis();
        Long last = lastWeightGrantMillis.get(name);
        if (last != null && now - last < WEIGHT_GRANT_INTERVAL_MS) {
            c.response().putHeader("Retry-After", "1");
            c.response().setStatusCode(TOO_MANY_REQUESTS).end();
            return;
        }
        lastWeightGrantMillis.put(name, now);
        c.json(new JsonObject().put("granted", true));
    }
}
