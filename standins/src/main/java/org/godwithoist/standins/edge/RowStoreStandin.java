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
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.godwithoist.core.id.Endpoint;

/** In-memory stand-in for the platform's row store. Thread-safe. */
public final class RowStoreStandin implements Closeable {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;
    private static final Duration HANG_TIMEOUT = Duration.ofHours(1);

    /** How one port of the store shows the rows of a table. */
    private record View(String table, UnaryOperator<String> rewriting) {
        private static final View PLAIN = new View("", UnaryOperator.identity());

        private ObjectNode toJson(StoredRows.Row row) {
            if (row.deleted() || !row.table().equals(table)) {
                return row.toJson();
            }
            return row.withValue(encode(rewriting.apply(decode(row.value())))).toJson();
        }
    }

    private final MessageServer server;
    private final List<MessageServer> viewServers = new CopyOnWriteArrayList<>();
    private final long startedAt = System.nanoTime();
    private final StoredRows rows = new StoredRows();
    private final AtomicInteger lostTransactions = new AtomicInteger();
    private final AtomicInteger transactions = new AtomicInteger();
    private long era = 1;
    private boolean down;
    private boolean stalled;
    private volatile boolean unresponsive;
    private volatile int unresponsiveCount;
    private int waitingFeeds;
    private final AtomicInteger requests = new AtomicInteger();
    private final Map<String, Integer> sentRows = new HashMap<>();

    /** Starts the store on a free port. */
    public RowStoreStandin() throws IOException {
        server = new MessageServer("row-store", (r, b, c) -> serve(View.PLAIN, r, b, c));
    }

    /**
     * Opens another port that serves the same tables, but shows one of them differently, so that a
     * daemon can be given addresses of its own for what all daemons share.
     *
     * @param table table whose rows are rewritten when they are read
     * @param rewriting returns the value that is shown in place of the stored one
     * @return address of the port
     */
    public Endpoint openView(String table, UnaryOperator<String> rewriting) throws IOException {
        View view = new View(table, rewriting);
        MessageServer added =
                new MessageServer("row-store-view", (r, b, c) -> serve(view, r, b, c));
        viewServers.add(added);
        return added.endpoint();
    }

    /** Returns the address of the store. */
    public Endpoint endpoint() {
        return server.endpoint();
    }

    // ---- changes by operators and runners

    /** Inserts or replaces a row. The value is stored as Base64. */
    public synchronized void put(String table, String key, String json) {
        rows.put(table, key, encode(json));
        notifyAll();
    }

    /** Deletes a row and records the deletion in the history. */
    public synchronized void delete(String table, String key) {
        rows.delete(table, key);
        notifyAll();
    }

    /** Returns the values that a row has had since the history began, without deletions. */
    public synchronized List<String> values(String table, String key) {
        return rows.values(table, key).stream().map(RowStoreStandin::decode).toList();
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String value) {
        return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
    }

    /** Makes the store execute the next transactions without sending their responses. */
    public void loseTransactionResponses(int count) {
        lostTransactions.set(count);
    }

    /** Returns the number of transactions received, including rejected ones. */
    public int transactions() {
        return transactions.get();
    }

    /**
     * Discards the history, which the store may do at any time. Clients that request changes after
     * an earlier version receive status 410.
     */
    public synchronized void compactHistory() {
        rows.compactHistory();
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
        rows.takeCopy();
    }

    /**
     * Goes on from the last copy in a new era. Versions given out since are given out again;
     * clients that request changes after a version that the store does not have receive status 410.
     */
    public synchronized void restoreCopy() {
        rows.restoreCopy();
        era++;
        notifyAll();
    }

    /** Sets the era that the store states. */
    public synchronized void setEra(long value) {
        era = value;
    }

    /** Returns the version of the last change. */
    public synchronized long version() {
        return rows.version();
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
        return rows.count(table);
    }

    /** Returns the number of rows and changes of a table that were sent in responses. */
    public synchronized int sentRows(String table) {
        return sentRows.getOrDefault(table, 0);
    }

    // ---- requests

    private boolean serve(
            View view, ClassicHttpRequest request, byte[] body, MessageServer.Connection connection)
            throws IOException {
        requests.incrementAndGet();
        int initialCount = unresponsiveCount;
        if (unresponsive) {
            return awaitClose(connection);
        }
        Map<String, String> query = query(request.getRequestUri());
        String path = request.getRequestUri().split("\\?", 2)[0];
        ObjectNode response = MAPPER.createObjectNode();
        Outcome outcome = handle(view, path, query, body, response);
        int status = outcome.status();
        if (unresponsiveCount != initialCount) {
            return awaitClose(connection);
        }
        if (path.equals("/rows-tx") && lostTransactions.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
            return false;
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
            View view, String path, Map<String, String> query, byte[] body, ObjectNode response)
            throws IOException {
        awaitEndOfStall();
        if (down) {
            return new Outcome(UNAVAILABLE, era);
        }
        int status =
                switch (path) {
                    case "/rows-get" -> readRows(view, query, response);
                    case "/rows-feed" -> readChanges(view, query, response);
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

    private int readRows(View view, Map<String, String> query, ObjectNode response) {
        ArrayNode list = response.putArray("rows");
        rows.range(query.get("table"), query.getOrDefault("from", ""), query.get("to"))
                .forEach(r -> list.add(view.toJson(r)));
        sentRows.merge(query.get("table"), list.size(), Integer::sum);
        writeState(response.put("hasMore", false));
        return OK;
    }

    /** Writes the newest version and the store's clock. */
    private void writeState(ObjectNode response) {
        response.put("rowVersion", rows.version());
        response.put("nowMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt));
    }

    private int readChanges(View view, Map<String, String> query, ObjectNode response) {
        long after = Long.parseLong(query.get("afterRevision"));
        long deadline = System.nanoTime() + millisToNanos(Long.parseLong(query.get("waitMs")));
        List<StoredRows.Row> changes = rows.changesAfter(query.get("table"), after);
        while (stalled || (changes.isEmpty() && !down && rows.hasHistory(after))) {
            long remainingNanos = deadline - System.nanoTime();
            if (remainingNanos <= 0 && !stalled) {
                break;
            }
            awaitChange(stalled ? HANG_TIMEOUT.toNanos() : remainingNanos);
            changes = rows.changesAfter(query.get("table"), after);
        }
        if (down) {
            return UNAVAILABLE;
        }
        if (!rows.hasHistory(after)) {
            return GONE;
        }
        ArrayNode list = response.putArray("rows");
        changes.forEach(r -> list.add(view.toJson(r)));
        sentRows.merge(query.get("table"), list.size(), Integer::sum);
        writeState(response);
        return OK;
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
        transactions.incrementAndGet();
        boolean applied = rows.apply(request, response);
        notifyAll();
        writeState(response);
        return applied ? OK : PRECONDITION_FAILED;
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
        for (MessageServer v : viewServers) {
            v.close();
        }
        server.close();
    }
}
