package org.godwithoist.report.http;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.godwithoist.report.BurnReport;
import org.godwithoist.report.BurnWindow;

/** Formats a burn report as JSON. */
public final class BurnReportJson {
    private static final double[] PERCENTILES = {50, 95, 99};

    private BurnReportJson() {}

    /** Returns the report as a JSON object; latencies are in milliseconds. */
    public static JsonObject format(BurnReport report) {
        JsonArray lines = new JsonArray();
        report.lines().forEach(l -> lines.add(line(l)));
        return new JsonObject().put("at", report.at().toString()).put("series", lines);
    }

    private static JsonObject line(BurnReport.Line l) {
        JsonObject rates = new JsonObject();
        for (BurnWindow w : BurnWindow.values()) {
            rates.put(w.label(), l.rates().get(w));
        }
        JsonObject causes = new JsonObject();
        l.causes().forEach((cause, n) -> causes.put(cause.wireName(), n));
        return new JsonObject()
                .put("workspace", l.key().workspace().value())
                .put("priority", l.key().priority().wireName())
                .put("objective", l.objective())
                .put("good", l.counts().good())
                .put("late", l.counts().late())
                .put("bad", l.counts().bad())
                .put("total", l.counts().total())
                .put("causes", causes)
                .put("burn_rates", rates)
                .put("budget_left", l.remainingBudget())
                .put("alert", l.alert().name().toLowerCase(Locale.ROOT))
                .put("first_token_ms", percentiles(l.counts().firstToken()))
                .put("between_tokens_ms", percentiles(l.counts().betweenTokens()));
    }

    private static JsonObject percentiles(Histogram h) {
        JsonObject o = new JsonObject();
        for (double p : PERCENTILES) {
            o.put("p" + (int) p, h.getValueAtPercentile(p) / 1_000.0);
        }
        return o;
    }
}
