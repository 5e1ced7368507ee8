package org.godwithoist.report.wire;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import org.HdrHistogram.Histogram;
import org.godwithoist.core.Priority;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.report.IntervalCounts;
import org.godwithoist.report.Outcome;
import org.godwithoist.report.SeriesCounts;
import org.godwithoist.report.SeriesKey;

/** Encodes the values of rows in table {@code burn} as JSON. */
final class BurnJson {
    private BurnJson() {}

    static String encode(IntervalCounts counts) {
        JsonArray list = new JsonArray();
        counts.series()
                .forEach(
                        (key, c) ->
                                list.add(
                                        new JsonObject()
                                                .put("workspace", key.workspace().value())
                                                .put("priority", key.priority().wireName())
                                                .put("good", c.good())
                                                .put("late", c.late())
                                                .put("refused", encodeCauses(c.refused()))
                                                .put("failed", encodeCauses(c.failed()))
                                                .put("first_us", encodeHistogram(c.firstToken()))
                                                .put(
                                                        "between_us",
                                                        encodeHistogram(c.betweenTokens()))));
        return new JsonObject().put("series", list).encode();
    }

    /** Adds the counts of a row to the given counts. */
    static void decodeInto(String text, IntervalCounts counts) {
        for (Object item : new JsonObject(text).getJsonArray("series")) {
            JsonObject o = (JsonObject) item;
            Priority priority = Priority.fromWireName(o.getString("priority")).orElseThrow();
            SeriesCounts c =
                    counts.getOrAdd(
                            new SeriesKey(new WorkspaceId(o.getString("workspace")), priority));
            c.addGood(o.getLong("good"));
            c.addLate(o.getLong("late"));
            decodeCauses(o.getJsonObject("refused"), (e, n) -> c.add(Outcome.REFUSED, e, n));
            decodeCauses(o.getJsonObject("failed"), (e, n) -> c.add(Outcome.FAILED, e, n));
            decodeHistogram(o.getJsonArray("first_us"), c::addFirstToken);
            decodeHistogram(o.getJsonArray("between_us"), c::addBetweenTokens);
        }
    }

    private static JsonObject encodeCauses(Map<ErrorCode, Long> counts) {
        JsonObject o = new JsonObject();
        counts.forEach((code, n) -> o.put(code.wireName(), n));
        return o;
    }

    private static void decodeCauses(JsonObject o, BiConsumer<ErrorCode, Long> add) {
        for (Map.Entry<String, Object> e : o) {
            ErrorCode code = ErrorCode.valueOf(e.getKey().toUpperCase(Locale.ROOT));
            add.accept(code, ((Number) e.getValue()).longValue());
        }
    }

    /**
     * Encodes a histogram as alternating values and counts. The list is short, because most series
     * have few responses in an interval.
     */
    private static JsonArray encodeHistogram(Histogram h) {
        JsonArray list = new JsonArray();
        h.recordedValues()
                .forEach(v -> list.add(v.getValueIteratedTo()).add(v.getCountAtValueIteratedTo()));
        return list;
    }

    private static void decodeHistogram(JsonArray list, BiConsumer<Long, Long> add) {
        for (int i = 0; i < list.size(); i += 2) {
            add.accept(list.getLong(i), list.getLong(i + 1));
        }
    }
}
