package org.godwithoist.accounting.wire;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.accounting.Attempt;
import org.godwithoist.accounting.ChainId;
import org.godwithoist.accounting.ChainRow;
import org.godwithoist.accounting.TakenOverAttempt;
import org.godwithoist.accounting.Usage;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/** Encoding of keys and values of rows in table {@code usage}. */
final class ChainRowJson {
    private ChainRowJson() {}

    /** Returns the row key; numbers are padded to 20 digits, so that keys sort numerically. */
    static String key(ChainId chain, long sequence) {
        return prefix(chain) + "%020d".formatted(sequence);
    }

    static String prefix(ChainId chain) {
        String host = chain.daemon().value().replace("%", "%25").replace("/", "%2F");
        return host + "/%020d/".formatted(chain.incarnation());
    }

    static String encode(ChainRow row) {
        JsonObject totals = new JsonObject();
        new TreeMap<>(row.totals()).forEach((w, u) -> totals.put(w.value(), encodeUsage(u)));
        JsonArray takenOver = new JsonArray();
        for (TakenOverAttempt t : row.takenOver()) {
            takenOver.add(
                    new JsonObject()
                            .put("attempt", t.attempt().id().value())
                            .put("workspace", t.attempt().workspace().value())
                            .put("target", t.attempt().target().value())
                            .put("state", t.state().name().toLowerCase(Locale.ROOT)));
        }
        return new JsonObject()
                .put("daemon", row.chain().daemon().value())
                .put("incarnation", row.chain().incarnation())
                .put("sequence", row.sequence())
                .put("owner", row.owner().value())
                .put("epoch", row.epoch())
                .put("through", row.through())
                .put("totals", totals)
                .put("taken", takenOver)
                .encode();
    }

    static ChainRow decode(String text) {
        JsonObject o = new JsonObject(text);
        Map<WorkspaceId, Usage> totals = new HashMap<>();
        o.getJsonObject("totals")
                .forEach(e -> totals.put(new WorkspaceId(e.getKey()), decodeUsage(e.getValue())));
        List<TakenOverAttempt> takenOver = new ArrayList<>();
        for (Object item : o.getJsonArray("taken")) {
            JsonObject t = (JsonObject) item;
            var attempt =
                    new Attempt(
                            new RequestId(t.getString("attempt")),
                            new WorkspaceId(t.getString("workspace")),
                            new TargetId(t.getString("target")));
            takenOver.add(new TakenOverAttempt(attempt, decodeState(t.getString("state"))));
        }
        return new ChainRow(
                new ChainId(new HostId(o.getString("daemon")), o.getLong("incarnation")),
                o.getLong("sequence"),
                new HostId(o.getString("owner")),
                o.getLong("epoch"),
                o.getLong("through"),
                totals,
                takenOver);
    }

    private static TakenOverAttempt.State decodeState(String name) {
        return TakenOverAttempt.State.valueOf(name.toUpperCase(Locale.ROOT));
    }

    /** Encodes usage as an array, because an object would double the size of a row. */
    private static JsonArray encodeUsage(Usage u) {
        return new JsonArray()
                .add(u.requests())
                .add(u.promptTokens())
                .add(u.cachedTokens())
                .add(u.completionTokens());
    }

    private static Usage decodeUsage(Object value) {
        JsonArray a = (JsonArray) value;
        return new Usage(a.getLong(0), a.getLong(1), a.getLong(2), a.getLong(3));
    }
}
