package org.godwithoist.cli.log;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Trace of one request, collected from logs: its attempts, its outcome, and the state that its
 * daemon had recorded before.
 */
public final class RequestTrace {
    private final String id;
    private final List<LogEntry> lines = new ArrayList<>();

    /** Last state before the first line of the request, by source and state key. */
    private final Map<String, Map<String, LogEntry>> states = new HashMap<>();

    private RequestTrace(String id) {
        this.id = id;
    }

    /**
     * Collects the trace of a request.
     *
     * @param id request id
     * @return the trace as JSON; empty if no line has this id
     * @throws IOException if a file cannot be read; the message names it
     */
    public static Optional<JsonObject> of(String id, LogFiles files) throws IOException {
        RequestTrace trace = new RequestTrace(id);
        files.forEach(trace::add);
        return trace.lines.isEmpty() ? Optional.empty() : Optional.of(trace.toJson());
    }

    private void add(LogEntry entry) {
        if (id.equals(entry.fields().getString("id"))) {
            lines.add(entry);
            return;
        }
        Optional<String> stateKey = StateEvent.stateKey(entry);
        boolean traceStarted = lines.stream().anyMatch(l -> l.source().equals(entry.source()));
        if (stateKey.isPresent() && !traceStarted) {
            states.computeIfAbsent(entry.source(), s -> new LinkedHashMap<>())
                    .put(stateKey.get(), entry);
        }
    }

    private JsonObject toJson() {
        lines.sort(Comparator.comparingLong(LogEntry::atMs));
        long firstAtMs = lines.getFirst().atMs();
        JsonObject json = new JsonObject().put("call", id).put("first_line_at_ms", firstAtMs);
        JsonArray jsonLines = new JsonArray();
        for (LogEntry line : lines) {
            JsonObject row =
                    new JsonObject()
                            .put("after_ms", line.atMs() - firstAtMs)
                            .put("daemon", line.source())
                            .put("event", line.event());
            JsonObject details = line.details();
            details.remove("id");
            jsonLines.add(row.mergeIn(details));
        }
        return json.put("lines", jsonLines).put("state_before", stateBefore(firstAtMs));
    }

    private JsonArray stateBefore(long firstAtMs) {
        JsonArray before = new JsonArray();
        lines.stream()
                .map(LogEntry::source)
                .distinct()
                .flatMap(s -> states.getOrDefault(s, Map.of()).values().stream())
                .forEach(
                        e ->
                                before.add(
                                        new JsonObject()
                                                .put("age_ms", firstAtMs - e.atMs())
                                                .put("daemon", e.source())
                                                .put("event", e.event())
                                                .mergeIn(e.details())));
        return before;
    }
}
