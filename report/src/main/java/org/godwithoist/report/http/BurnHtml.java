package org.godwithoist.report.http;

import java.util.List;
import java.util.Locale;
import org.godwithoist.report.BurnReport;
import org.godwithoist.report.BurnWindow;

/** Formats a burn report as a self-contained HTML page. */
final class BurnHtml {
    private static final int PLOT_WIDTH = 180;
    private static final int PLOT_HEIGHT = 28;

    private static final String HEAD =
            """
            <!DOCTYPE html>
            <html lang="en"><head><meta charset="utf-8"><title>Burn report</title><style>
            body{font:14px sans-serif;margin:1em}table{border-collapse:collapse}
            td,th{padding:.2em .6em;border-bottom:1px solid #ccc;text-align:right}
            td:first-child,th:first-child{text-align:left}
            tr.page{background:#fdd}tr.ticket{background:#fec}
            svg{background:#f4f4f4}rect{fill:#b33}
            </style></head><body><h1>Burn report</h1>
            """;

    private BurnHtml() {}

    static String format(BurnReport report) {
        var out = new StringBuilder(HEAD);
        out.append("<p>")
                .append(report.at())
                .append("; counts of the last 6 h, times of the last hour</p>\n<table><tr>");
        for (String title :
                List.of("workspace", "priority", "objective", "requests", "good", "late", "bad")) {
            out.append("<th>").append(title).append("</th>");
        }
        for (BurnWindow w : BurnWindow.values()) {
            out.append("<th>burn ").append(w.label()).append("</th>");
        }
        out.append("<th>budget left</th><th>first token p95 ms</th><th>between tokens p95 ms</th>");
        out.append("<th>causes</th><th>bad share, last hour</th><th>alert</th></tr>\n");
        report.lines().forEach(l -> row(out, l));
        return out.append("</table></body></html>\n").toString();
    }

    private static void row(StringBuilder out, BurnReport.Line l) {
        String alert = l.alert().name().toLowerCase(Locale.ROOT);
        out.append("<tr class=\"").append(alert).append("\">");
        cell(out, escape(l.key().workspace().value()));
        cell(out, l.key().priority().wireName());
        cell(out, decimal(l.objective()));
        cell(out, Long.toString(l.counts().total()));
        cell(out, Long.toString(l.counts().good()));
        cell(out, Long.toString(l.counts().late()));
        cell(out, Long.toString(l.counts().bad()));
        for (BurnWindow w : BurnWindow.values()) {
            cell(out, decimal(l.rates().get(w)));
        }
        cell(out, decimal(l.remainingBudget()));
        cell(out, decimal(l.counts().firstToken().getValueAtPercentile(95) / 1_000.0));
        cell(out, decimal(l.counts().betweenTokens().getValueAtPercentile(95) / 1_000.0));
        var causes = new StringBuilder();
        l.causes().forEach((c, n) -> causes.append(c.wireName()).append(' ').append(n).append(' '));
        cell(out, causes.toString());
        cell(out, plot(l.history()));
        cell(out, alert);
        out.append("</tr>\n");
    }

    /**
     * Draws a bar for each interval with bad requests; the others, also those without any requests,
     * have none.
     */
    private static String plot(List<Double> history) {
        var out = new StringBuilder();
        out.append(
                "<svg width=\"%d\" height=\"%d\" role=\"img\">".formatted(PLOT_WIDTH, PLOT_HEIGHT));
        double width = (double) PLOT_WIDTH / Math.max(1, history.size());
        for (int i = 0; i < history.size(); i++) {
            double share = history.get(i);
            if (share > 0) {
                double height = Math.max(1, share * PLOT_HEIGHT);
                out.append(
                        String.format(
                                Locale.ROOT,
                                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"/>",
                                i * width,
                                PLOT_HEIGHT - height,
                                width,
                                height));
            }
        }
        return out.append("</svg>").toString();
    }

    private static void cell(StringBuilder out, String content) {
        out.append("<td>").append(content).append("</td>");
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
