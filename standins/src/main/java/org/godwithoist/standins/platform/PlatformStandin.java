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
import java.util.TreeMap;
import org.godwithoist.core.id.Endpoint;

/** Keeps tables, objects and the host list in memory. All handlers run on one event loop. */
public final class PlatformStandin {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final long ANY = -1;

    private final Vertx vertx;
    private final Map<String, NavigableMap<String, JsonObject>> tables = new HashMap<>();
    private final Map<String, Buffer> objects = new HashMap<>();
    private JsonArray hosts = new JsonArray();
    private long lastVersion;

    /** Makes a stand-in with empty stores. */
    public PlatformStandin(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Starts to listen. */
    public Future<HttpServer> listen(Endpoint endpoint) {
        return vertx.createHttpServer()
                .requestHandler(routes())
                .listen(endpoint.port(), endpoint.ip());
    }

    private Router routes() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.get("/tables/:table/rows/:key").handler(this::read);
        router.get("/tables/:table/rows").handler(this::scan);
        router.post("/commit").handler(this::commit);
        router.put("/objects/:key").handler(this::putObject);
        router.get("/objects/:key").handler(this::getObject);
        router.get("/hosts").handler(c -> c.json(new JsonObject().put("hosts", hosts)));
        router.put("/hosts").handler(this::putHosts);
        return router;
    }

    private void read(RoutingContext c) {
        JsonObject row = table(c.pathParam("table")).get(c.pathParam("key"));
        if (row == null) {
            c.fail(NOT_FOUND);
            return;
        }
        c.json(row);
    }

    private void scan(RoutingContext c) {
        String prefix = c.queryParams().get("prefix");
        JsonArray rows = new JsonArray();
        for (var e : table(c.pathParam("table")).tailMap(prefix).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            rows.add(e.getValue());
        }
        c.json(new JsonObject().put("rows", rows));
    }

    private void commit(RoutingContext c) {
        JsonArray writes = c.body().asJsonObject().getJsonArray("writes");
        for (Object o : writes) {
            JsonObject w = (JsonObject) o;
            JsonObject row = table(w.getString("table")).get(w.getString("key"));
            long version = row == null ? 0 : row.getLong("version");
            long expected = w.getLong("expected");
            if (expected != ANY && expected != version) {
                c.response().setStatusCode(CONFLICT);
                c.json(
                        new JsonObject()
                                .put("table", w.getString("table"))
                                .put("key", w.getString("key")));
                return;
            }
        }
        JsonArray versions = new JsonArray();
        for (Object o : writes) {
            versions.add(apply((JsonObject) o));
        }
        c.json(new JsonObject().put("versions", versions));
    }

    private long apply(JsonObject w) {
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

    private void putObject(RoutingContext c) {
        objects.put(c.pathParam("key"), c.body().buffer());
        c.json(new JsonObject());
    }

    private void getObject(RoutingContext c) {
        Buffer content = objects.get(c.pathParam("key"));
        if (content == null) {
            c.fail(NOT_FOUND);
            return;
        }
        c.end(content);
    }

    private void putHosts(RoutingContext c) {
        JsonObject body = c.body().asJsonObject();
        if (body == null || body.getJsonArray("hosts") == null) {
            c.fail(BAD_REQUEST);
            return;
        }
        hosts = body.getJsonArray("hosts");
        c.json(new JsonObject());
    }

    private NavigableMap<String, JsonObject> table(String name) {
        return tables.computeIfAbsent(name, n -> new TreeMap<>());
    }
}
