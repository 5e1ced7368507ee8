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
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.godwithoist.core.id.Endpoint;

/** In-memory stand-in for the platform's row store. Thread-safe. */
public final class RowStoreStandin implements Closeable {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final Duration HANG_TIMEOUT = Duration.ofHours(1);

    /** Rows and history at one moment. */
    private record Copy(Map<String, Map<String, Row>> tables, List<Row> history, long version) {}

    private record Row(String table, String key, String value, long version, boolean deleted) {}

    private final MessageServer server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;
    private long historyStart = 1;
    private long era = 1;
    private Copy copy = new Copy(Map.of(), List.of(), 1);
    private boolean down;
    private boolean stalled;
    private volatile boolean unresponsive;
    private volatile int unresponsiveCount;
    private int waitingFeeds;
    private final AtomicInteger requests = new AtomicInteger();
    private final Map<String, Integer> sentRows = new HashMap<>();

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
        applyChange(table, key, Base64.getEncoder().encodeToString(bytes), false);
    }

    /** Deletes a row and records the deletion in the history. */
    public synchronized void delete(String table, String key) {
        applyChange(table, key, "", true);
    }

    /**
     * Discards the history, which the store may do at any time. Clients that request changes after
     * an earlier version receive status 410.
     */
    public synchronized void compactHistory() {
        history.clear();
        historyStart = version;
        notifyAll();
    }

    /** Sets whether the store rejects all requests with status 503. */
    public synchronized void setDown(boolean value) {
        down = value;
        notifyAll();
    }

    /**
     * Sets whether the store is unresponsive. Requests that arrive or are waiting while it is
     * unresponsive never receive a response.
     */
    public synchronized void setUnresponsive(boolean value) {
        unresponsive = value;
        if (value) {
            unresponsiveCount++;
        }
        notifyAll();
    }

    /**
     * Sets whether requests wait until the store goes on, and are then executed on its state at
     * that time. For a daemon this is as if it had been suspended before it sent them.
     */
    public synchronized void setStalled(boolean value) {
        stalled = value;
        notifyAll();
    }

    /** Makes the copy from which {@link #restoreCopy()} goes on. */
    public synchronized void takeCopy() {
        Map<String, Map<String, Row>> copies = new HashMap<>();
        tables.forEach((table, rows) -> copies.put(table, Map.copyOf(rows)));
        copy = new Copy(copies, List.copyOf(history), version);
    }

    /**
     * Goes on from the last copy in a new era. Versions given out since are given out again;
     * clients that request changes after a version that the store does not have receive status 410.
     */
    public synchronized void restoreCopy() {
        tables.clear();
        copy.tables().forEach((table, rows) -> tables.put(table, new TreeMap<>(rows)));
        history.clear();
        history.addAll(copy.history());
        version = copy.version();
        era++;
        notifyAll();
    }

    /** Sets the era that the store states. */
    public synchronized void setEra(long value) {
        era = value;
    }

    /** Returns the version of the last change. */
    public synchronized long version() {
        return version;
    }

    /** Returns the number of requests received. */
    public int requests() {
        return requests.get();
    }

    /** Returns the number of requests that wait for changes. */
    public synchronized int waitingFeeds() {
        return waitingFeeds;
    }

    /** Returns the number of rows in a table; 0 if the table does not exist. */
    public synchronized int rowCount(String table) {
        return tables.getOrDefault(table, new TreeMap<>()).size();
    }

    /** Returns the number of rows and changes of a table that were sent in responses. */
    public synchronized int sentRows(String table) {
        return sentRows.getOrDefault(table, 0);
    }

    private void applyChange(String table, String key, String value, boolean deleted) {
        version++;
        Row row = new Row(table, key, value, version, deleted);
        TreeMap<String, Row> rows = tables.computeIfAbsent(table, t -> new TreeMap<>());
        if (deleted) {
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
        requests.incrementAndGet();
        int initialCount = unresponsiveCount;
        if (unresponsive) {
            return awaitClose(connection);
        }
        Map<String, String> query = query(request.getRequestUri());
        String path = request.getRequestUri().split("\\?", 2)[0];
        ObjectNode response = MAPPER.createObjectNode();
        Outcome outcome = handle(path, query, body, response);
        int status = outcome.status();
        if (unresponsiveCount != initialCount) {
            return awaitClose(connection);
        }
        byte[] bytes = MAPPER.writeValueAsBytes(response);
        connection.writer().startLine("HTTP/1.1 " + status + " Status");
        connection.writer().field("Content-Type", "application/json");
        connection.writer().field("Store-Era", Long.toString(outcome.era()));
        connection.writer().field("Content-Length", Integer.toString(bytes.length));
        connection.writer().endHead();
        connection.writer().bytes(bytes, 0, bytes.length);
        connection.writer().flush();
        return true;
    }

    /** Sends nothing until the client closes the connection. */
    private static boolean awaitClose(MessageServer.Connection connection) {
        connection.awaitClose(HANG_TIMEOUT);
        return false;
    }

    /** Status of a response and the era in which it was made. */
    private record Outcome(int status, long era) {}

    private synchronized Outcome handle(
            String path, Map<String, String> query, byte[] body, ObjectNode response)
            throws IOException {
        awaitEndOfStall();
        if (down) {
            return new Outcome(UNAVAILABLE, era);
        }
        int status =
                switch (path) {
                    case "/rows-get" -> readRows(query, response);
                    case "/rows-feed" -> readChanges(query, response);
                    case "/rows-tx" -> transact(MAPPER.readTree(body), response);
                    default -> 404;
                };
        return new Outcome(status, era);
    }

    private void awaitEndOfStall() {
        while (stalled) {
            pause(HANG_TIMEOUT.toNanos());
        }
    }

    private int readRows(Map<String, String> query, ObjectNode response) {
        TreeMap<String, Row> rows = tables.getOrDefault(query.get("table"), new TreeMap<>());
        ArrayNode list = response.putArray("rows");
        String from = query.getOrDefault("from", "");
        rows.tailMap(from).values().forEach(r -> list.add(toJson(r)));
        sentRows.merge(query.get("table"), list.size(), Integer::sum);
        response.put("hasMore", false).put("rowVersion", version).put("nowMs", 0);
        return OK;
    }

    private int readChanges(Map<String, String> query, ObjectNode response) {
        long after = Long.parseLong(query.get("afterRevision"));
        long deadline = System.nanoTime() + millisToNanos(Long.parseLong(query.get("waitMs")));
        List<Row> changes = changesAfter(query.get("table"), after);
        while (stalled || (changes.isEmpty() && !down && hasHistory(after))) {
            long remainingNanos = deadline - System.nanoTime();
            if (remainingNanos <= 0 && !stalled) {
                break;
            }
            awaitChange(stalled ? HANG_TIMEOUT.toNanos() : remainingNanos);
            changes = changesAfter(query.get("table"), after);
        }
        if (down) {
            return UNAVAILABLE;
        }
        if (!hasHistory(after)) {
            return GONE;
        }
        ArrayNode list = response.putArray("rows");
        changes.forEach(r -> list.add(toJson(r)));
        sentRows.merge(query.get("table"), list.size(), Integer::sum);
        response.put("rowVersion", version).put("nowMs", 0);
        return OK;
    }

    private boolean hasHistory(long after) {
        return after >= historyStart && after <= version;
    }

    private void awaitChange(long nanos) {
        waitingFeeds++;
        try {
            pause(nanos);
        } finally {
            waitingFeeds--;
        }
    }

    /** Waits for a change of the state. */
    private void pause(long nanos) {
        try {
            TimeUnit.NANOSECONDS.timedWait(this, nanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int transact(JsonNode request, ObjectNode response) {
        for (JsonNode write : request.path("write")) {
            applyChange(
                    write.path("table").asText(),
                    write.path("key").asText(),
                    write.path("value").asText(),
                    false);
        }
        for (JsonNode row : request.path("remove")) {
            applyChange(row.path("table").asText(), row.path("key").asText(), "", true);
        }
        response.put("rowVersion", version).put("nowMs", 0);
        return OK;
    }

    private List<Row> changesAfter(String table, long after) {
        return history.stream()
                .filter(r -> r.table().equals(table) && r.version() > after)
                .toList();
    }

    private static ObjectNode toJson(Row row) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("table", row.table()).put("part", "").put("key", row.key());
        node.put("value", row.value()).put("rowVersion", row.version());
        return row.deleted() ? node.put("deleted", true) : node;
    }

    private static long millisToNanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> query = new HashMap<>();
        int queryStart = uri.indexOf('?');
        if (queryStart < 0) {
            return query;
        }
        for (String pair : uri.substring(queryStart + 1).split("&", -1)) {
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
