package org.godwithoist.standins.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.godwithoist.core.id.Endpoint;

/** In-memory stand-in for the platform's row store. Thread-safe. */
public final class RowStoreStandin implements Closeable {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int BUSY = 503;
    private static final Duration SILENCE = Duration.ofHours(1);

    private record Row(String table, String key, String value, long version, boolean gone) {}

    private final MessageServer server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;
    private long historyFrom = 1;
    private boolean down;
    private volatile boolean silent;
    private volatile int silences;

    /** Starts the store on a free port. */
    public RowStoreStandin() throws IOException {
        server = new MessageServer("row-store", this::serve);
    }

    /** Returns the address of the store. */
    public Endpoint endpoint() {
        return server.endpoint();
    }

    // ---- changes by operators and runners

    /** Inserts or replaces a row. The value is stored as Base64. */
    public synchronized void put(String table, String key, String json) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        change(table, key, Base64.getEncoder().encodeToString(bytes), false);
    }

    /** Deletes a row and records the deletion in the history. */
    public synchronized void drop(String table, String key) {
        change(table, key, "", true);
    }

    /**
     * Discards the history, which the store may do at any time. Clients that ask for changes after
     * an earlier version receive status 410.
     */
    public synchronized void compact() {
        history.clear();
        historyFrom = version;
        notifyAll();
    }

    /** Sets whether the store rejects all requests with status 503. */
    public synchronized void down(boolean value) {
        down = value;
        notifyAll();
    }

    /**
     * Sets whether the store is unresponsive. Requests that arrive or are waiting while it is
     * unresponsive never receive a response.
     */
    public synchronized void silent(boolean value) {
        silent = value;
        if (value) {
            silences++;
        }
        notifyAll();
    }

    /** Returns the number of rows in a table, 0 if the table does not exist. */
    public synchronized int count(String table) {
        return tables.getOrDefault(table, new TreeMap<>()).size();
    }

    private void change(String table, String key, String value, boolean gone) {
        version++;
        Row row = new Row(table, key, value, version, gone);
        TreeMap<String, Row> rows = tables.computeIfAbsent(table, t -> new TreeMap<>());
        if (gone) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        history.add(row);
        notifyAll();
    }

    // ---- requests

    private boolean serve(
            ClassicHttpRequest request, byte[] body, MessageServer.Connection connection)
            throws IOException {
        int before = silences;
        if (silent) {
            return loseAnswer(connection);
        }
        Map<String, String> query = query(request.getRequestUri());
        String path = request.getRequestUri().split("\\?", 2)[0];
        ObjectNode answer = MAPPER.createObjectNode();
        int status = answer(path, query, body, answer);
        if (silences != before) {
            return loseAnswer(connection);
        }
        byte[] bytes = MAPPER.writeValueAsBytes(answer);
        connection.writer().startLine("HTTP/1.1 " + status + " Status");
        connection.writer().field("Content-Type", "application/json");
        connection.writer().field("Content-Length", Integer.toString(bytes.length));
        connection.writer().endHead();
        connection.writer().bytes(bytes, 0, bytes.length);
        connection.writer().flush();
        return true;
    }

    /** Sends nothing until the client closes the connection. */
    private static boolean loseAnswer(MessageServer.Connection connection) {
        connection.awaitEnd(SILENCE);
        return false;
    }

    private synchronized int answer(
            String path, Map<String, String> query, byte[] body, ObjectNode answer)
            throws IOException {
        if (down) {
            return BUSY;
        }
        return switch (path) {
            case "/rows-get" -> get(query, answer);
            case "/rows-feed" -> feed(query, answer);
            case "/rows-tx" -> transact(MAPPER.readTree(body), answer);
            default -> 404;
        };
    }

    private int get(Map<String, String> query, ObjectNode answer) {
        TreeMap<String, Row> rows = tables.getOrDefault(query.get("table"), new TreeMap<>());
        ArrayNode list = answer.putArray("rows");
        String from = query.getOrDefault("from", "");
        rows.tailMap(from).values().forEach(r -> list.add(node(r)));
        answer.put("hasMore", false).put("rowVersion", version).put("nowMs", 0);
        return OK;
    }

    private int feed(Map<String, String> query, ObjectNode answer) {
        long after = Long.parseLong(query.get("afterRevision"));
        long until = System.nanoTime() + millis(Long.parseLong(query.get("waitMs")));
        List<Row> changed = changed(query.get("table"), after);
        while (changed.isEmpty() && !down && after >= historyFrom) {
            long left = until - System.nanoTime();
            if (left <= 0) {
                break;
            }
            await(left);
            changed = changed(query.get("table"), after);
        }
        if (down) {
            return BUSY;
        }
        if (after < historyFrom) {
            return GONE;
        }
        ArrayNode list = answer.putArray("rows");
        changed.forEach(r -> list.add(node(r)));
        answer.put("rowVersion", version).put("nowMs", 0);
        return OK;
    }

    private void await(long nanos) {
        try {
            TimeUnit.NANOSECONDS.timedWait(this, nanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int transact(JsonNode call, ObjectNode answer) {
        for (JsonNode w : call.path("write")) {
            change(
                    w.path("table").asText(),
                    w.path("key").asText(),
                    w.path("value").asText(),
                    false);
        }
        answer.put("rowVersion", version).put("nowMs", 0);
        return OK;
    }

    private List<Row> changed(String table, long after) {
        return history.stream()
                .filter(r -> r.table().equals(table) && r.version() > after)
                .toList();
    }

    private static ObjectNode node(Row row) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("table", row.table()).put("part", "").put("key", row.key());
        node.put("value", row.value()).put("rowVersion", row.version());
        return row.gone() ? node.put("deleted", true) : node;
    }

    private static long millis(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> query = new HashMap<>();
        int mark = uri.indexOf('?');
        if (mark < 0) {
            return query;
        }
        for (String pair : uri.substring(mark + 1).split("&", -1)) {
            String[] parts = pair.split("=", 2);
            String value = parts.length < 2 ? "" : parts[1];
            query.put(parts[0], URLDecoder.decode(value, StandardCharsets.UTF_8));
        }
        return query;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
