package org.godwithoist.cli.log;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Summary of logs: outcomes of requests, failures and latencies of targets, and other events. */
public final class LogSummary {
    private final int mostTargets;
    private final Map<String, Map<String, Times>> ends = new TreeMap<>();
    private final Map<String, Attempts> targets = new LinkedHashMap<>();
    private final Map<String, Long> events = new TreeMap<>();
    private long dropped;

    private LogSummary(int mostTargets) {
        this.mostTargets = mostTargets;
    }

    /**
     * Summarizes logs.
     *
     * @param mostTargets maximum number of targets to return; those with the most failures come
     *     first
     * @throws IOException if a file cannot be read; the message names it
     */
    public static JsonObject of(LogFiles files, int mostTargets) throws IOException {
        LogSummary summary = new LogSummary(mostTargets);
        files.forEach(summary::take);
        return summary.toJson().put("unreadable_lines", files.unreadable());
    }

    private void take(LogEntry entry) {
        JsonObject fields = entry.fields();
        switch (entry.event()) {
            case "call" ->
                    ends.computeIfAbsent(fields.getString("route", ""), r -> new TreeMap<>())
                            .computeIfAbsent(end(fields), e -> new Times())
                            .add(fields.getLong("ms", 0L));
            case "attempt" ->
                    targets.computeIfAbsent(fields.getString("target", ""), t -> new Attempts())
                            .add(fields);
            case "log_lines_dropped" -> dropped += fields.getLong("lines", 0L);
            default -> events.merge(entry.event(), 1L, Long::sum);
        }
    }

    private static String end(JsonObject fields) {
        String refusal = fields.getString("refusal", "");
        return fields.getString("end", "") + (refusal.isEmpty() ? "" : " " + refusal);
    }

    /** Attempts at one target. */
    private static final class Attempts {
        private static final String ANSWERED = "ANSWERED";

        private final Map<String, Long> outcomes = new TreeMap<>();
        private final Times firstByte = new Times();

        private void add(JsonObject fields) {
            outcomes.merge(fields.getString("outcome", ""), 1L, Long::sum);
            Long first = fields.getLong("first_ms");
            if (first != null) {
                firstByte.add(first);
            }
        }

        private long failures() {
            return outcomes.entrySet().stream()
                    .filter(e -> !e.getKey().equals(ANSWERED))
                    .mapToLong(Map.Entry::getValue)
                    .sum();
        }

        private JsonObject toJson(String target) {
            JsonObject failed = new JsonObject();
            outcomes.forEach((o, n) -> failed.put(o, n));
            failed.remove(ANSWERED);
            return new JsonObject()
                    .put("target", target)
                    .put("answered", outcomes.getOrDefault(ANSWERED, 0L))
                    .put("failures", failures())
                    .put("first_ms_p50", firstByte.percentile(50))
                    .put("first_ms_p95", firstByte.percentile(95))
                    .put("outcomes", failed);
        }
    }

    private JsonObject toJson() {
        JsonArray calls = new JsonArray();
        ends.forEach(
                (route, byEnd) ->
                        byEnd.forEach(
                                (end, times) ->
                                        calls.add(
                                                new JsonObject()
                                                        .put("route", route)
                                                        .put("end", end)
                                                        .put("calls", times.count())
                                                        .put("ms_p50", times.percentile(50))
                                                        .put("ms_p95", times.percentile(95)))));
        JsonArray worst = new JsonArray();
        List<Map.Entry<String, Attempts>> order =
                targets.entrySet().stream()
                        .sorted(Comparator.comparingLong(e -> -e.getValue().failures()))
                        .limit(mostTargets)
                        .toList();
        order.forEach(e -> worst.add(e.getValue().toJson(e.getKey())));
        JsonArray others = new JsonArray();
        events.forEach((e, n) -> others.add(new JsonObject().put("event", e).put("lines", n)));
        return new JsonObject()
                .put("targets_seen", targets.size())
                .put("dropped_lines", dropped)
                .put("calls", calls)
                .put("targets", worst)
                .put("events", others);
    }
}
