package org.godwithoist.standins.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Rows of the row store stand-in, with their history and one copy. Not thread-safe. */
final class StoredRows {
    private static final JsonMapper MAPPER = new JsonMapper();

    /** A row, or its deletion. */
    record Row(String table, String key, String value, long version, boolean deleted) {
        Row withValue(String other) {
            return new Row(table, key, other, version, deleted);
        }

        ObjectNode toJson() {
            ObjectNode node = MAPPER.createObjectNode();
            node.put("table", table).put("part", "").put("key", key);
            node.put("value", value).put("rowVersion", version);
            return deleted ? node.put("deleted", true) : node;
        }
    }

    /** Rows and history at one moment. */
    private record Copy(Map<String, Map<String, Row>> tables, List<Row> history, long version) {}

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;
    private long historyStart = 1;
    private Copy copy = new Copy(Map.of(), List.of(), 1);

    /** Inserts or replaces a row in a transaction of its own. */
    void put(String table, String key, String value) {
        version++;
        change(new Row(table, key, value, version, false));
    }

    /** Deletes a row in a transaction of its own. */
    void delete(String table, String key) {
        version++;
        change(new Row(table, key, "", version, true));
    }

    private void change(Row row) {
        TreeMap<String, Row> rows = tables.computeIfAbsent(row.table(), t -> new TreeMap<>());
        if (row.deleted()) {
            rows.remove(row.key());
        } else {
            rows.put(row.key(), row);
        }
        history.add(row);
    }

    /**
     * Applies a transaction, or nothing if a row does not have the expected version.
     *
     * @param response receives the current rows of the expectations if one of them failed
     * @return whether the transaction was applied
     */
    boolean apply(JsonNode request, ObjectNode response) {
        for (JsonNode expected : request.path("expect")) {
            long current = find(expected).map(Row::version).orElse(0L);
            if (current != expected.path("rowVersion").asLong()) {
                ArrayNode rows = response.putArray("rows");
                request.path("expect").forEach(e -> find(e).ifPresent(r -> rows.add(r.toJson())));
                return false;
            }
        }
        version++;
        request.path("write").forEach(w -> change(row(w, w.path("value").asText(), false)));
        request.path("remove").forEach(r -> change(row(r, "", true)));
        return true;
    }

    private Row row(JsonNode node, String value, boolean deleted) {
        return new Row(
                node.path("table").asText(), node.path("key").asText(), value, version, deleted);
    }

    private Optional<Row> find(JsonNode node) {
        TreeMap<String, Row> rows =
                tables.getOrDefault(node.path("table").asText(), new TreeMap<>());
        return Optional.ofNullable(rows.get(node.path("key").asText()));
    }

    /** Returns the values that a row has had since the history began, without deletions. */
    List<String> values(String table, String key) {
        return history.stream()
                .filter(r -> r.table().equals(table) && r.key().equals(key) && !r.deleted())
                .map(Row::value)
                .toList();
    }

    /**
     * Returns the rows of a table with keys in a range.
     *
     * @param to end of the range, which is not part of it; null for all keys
     */
    Collection<Row> range(String table, String from, String to) {
        TreeMap<String, Row> rows = tables.getOrDefault(table, new TreeMap<>());
        return to == null ? rows.tailMap(from).values() : rows.tailMap(from).headMap(to).values();
    }

    /** Returns the number of rows in a table; 0 if the table does not exist. */
    int count(String table) {
        return tables.getOrDefault(table, new TreeMap<>()).size();
    }

    /** Returns the changes of a table after a version. */
    List<Row> changesAfter(String table, long after) {
        return history.stream()
                .filter(r -> r.table().equals(table) && r.version() > after)
                .toList();
    }

    /** Returns whether all changes after a version are known. */
    boolean hasHistory(long after) {
        return after >= historyStart && after <= version;
    }

    /** Returns the version of the last transaction. */
    long version() {
        return version;
    }

    /** Discards the history. */
    void compactHistory() {
        history.clear();
        historyStart = version;
    }

    /** Makes the copy from which {@link #restoreCopy()} goes on. */
    void takeCopy() {
        Map<String, Map<String, Row>> copies = new HashMap<>();
        tables.forEach((table, rows) -> copies.put(table, Map.copyOf(rows)));
        copy = new Copy(copies, List.copyOf(history), version);
    }

    /** Returns to the last copy. Versions given out since are given out again. */
    void restoreCopy() {
        tables.clear();
        copy.tables().forEach((table, rows) -> tables.put(table, new TreeMap<>(rows)));
        history.clear();
        history.addAll(copy.history());
        version = copy.version();
    }
}
