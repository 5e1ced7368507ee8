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
    private final int maxTargets;
    private final Map<String, Map<String, LatencySamples>> requestTimes = new TreeMap<>();
    private final Map<String, TargetAttempts> targets = new LinkedHashMap<>();
    private final Map<String, Long> events = new TreeMap<>();
    private long droppedLines;

    private LogSummary(int maxTargets) {
        this.maxTargets = maxTargets;
    }

    /**
     * Summarizes logs.
     *
     * @param maxTargets maximum number of targets to return; those with the most failures come
     *     first
     * @throws IOException if a file cannot be read; the message names it
     */
    public static JsonObject of(LogFiles files, int maxTargets) throws IOException {
        LogSummary summary = new LogSummary(maxTargets);
        files.forEach(summary::add);
        return summary.toJson().put("unreadable_lines", files.unreadableLineCount());
    }

    private void add(LogEntry entry) {
        JsonObject fields = entry.fields();
        switch (entry.event()) {
            case "call" ->
                    requestTimes
                            .computeIfAbsent(fields.getString("route", ""), r -> new TreeMap<>())
                            .computeIfAbsent(outcome(fields), e -> new LatencySamples())
                            .add(fields.getLong("ms", 0L));
            case "attempt" ->
                    targets.computeIfAbsent(
                                    fields.getString("target", ""), t -> new TargetAttempts())
                            .add(fields);
            case "log_lines_dropped" -> droppedLines += fields.getLong("lines", 0L);
            default -> events.merge(entry.event(), 1L, Long::sum);
        }
    }

    private static String outcome(JsonObject fields) {
        String refusal = fields.getString("refusal", "");
        return fields.getString("end", "") + (refusal.isEmpty() ? "" : " " + refusal);
    }

    /** Outcomes and times to the first byte of the attempts at one target. */
    private static final class TargetAttempts {
        private static final String ANSWERED = "ANSWERED";

        private final Map<String, Long> outcomes = new TreeMap<>();
        private final LatencySamples firstByte = new LatencySamples();

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
            JsonObject failedOutcomes = new JsonObject();
            outcomes.forEach((outcome, count) -> failedOutcomes.put(outcome, count));
            failedOutcomes.remove(ANSWERED);
            return new JsonObject()
                    .put("target", target)
                    .put("answered", outcomes.getOrDefault(ANSWERED, 0L))
                    .put("failures", failures())
                    .put("first_ms_p50", firstByte.percentile(50))
                    .put("first_ms_p95", firstByte.percentile(95))
                    .put("outcomes", failedOutcomes);
        }
    }

    private JsonObject toJson() {
        JsonArray requests = new JsonArray();
        requestTimes.forEach(
                (route, byOutcome) ->
                        byOutcome.forEach(
                                (end, times) ->
                                        requests.add(
                                                new JsonObject()
                                                        .put("route", route)
                                                        .put("end", end)
                                                        .put("calls", times.count())
                                                        .put("ms_p50", times.percentile(50))
                                                        .put("ms_p95", times.percentile(95)))));
        JsonArray worstTargets = new JsonArray();
        List<Map.Entry<String, TargetAttempts>> sortedTargets =
                targets.entrySet().stream()
                        .sorted(Comparator.comparingLong(e -> -e.getValue().failures()))
                        .limit(maxTargets)
                        .toList();
        sortedTargets.forEach(e -> worstTargets.add(e.getValue().toJson(e.getKey())));
        JsonArray otherEvents = new JsonArray();
        events.forEach(
                (event, lines) ->
                        otherEvents.add(new JsonObject().put("event", event).put("lines", lines)));
        return new JsonObject()
                .put("targets_seen", targets.size())
                .put("dropped_lines", droppedLines)
                .put("calls", requests)
                .put("targets", worstTargets)
                .put("events", otherEvents);
    }
}
