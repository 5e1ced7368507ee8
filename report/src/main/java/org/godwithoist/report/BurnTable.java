package org.godwithoist.report;

import java.util.Locale;

/** Formats a burn report as a text table for terminals. */
public final class BurnTable {
    private static final String ROW = "%-24s %-12s %9s %9s %8s %8s %8s %8s %8s %8s %9s %9s %-6s%n";

    private BurnTable() {}

    /** Returns the table; latencies are 95th percentiles in milliseconds. */
    public static String format(BurnReport report) {
        var out = new StringBuilder();
        out.append(
                String.format(
                        Locale.ROOT,
                        ROW,
                        "workspace",
                        "priority",
                        "objective",
                        "requests",
                        "bad",
                        "budget",
                        "5m",
                        "30m",
                        "1h",
                        "6h",
                        "first_ms",
                        "token_ms",
                        "alert"));
        for (BurnReport.Line l : report.lines()) {
            out.append(
                    String.format(
                            Locale.ROOT,
                            ROW,
                            l.key().workspace(),
                            l.key().priority().wireName(),
                            decimal(l.objective()),
                            l.counts().total(),
                            l.counts().bad(),
                            decimal(l.remainingBudget()),
                            decimal(l.rates().get(BurnWindow.FIVE_MINUTES)),
                            decimal(l.rates().get(BurnWindow.HALF_HOUR)),
                            decimal(l.rates().get(BurnWindow.HOUR)),
                            decimal(l.rates().get(BurnWindow.SIX_HOURS)),
                            millis(l.counts().firstToken().getValueAtPercentile(95)),
                            millis(l.counts().betweenTokens().getValueAtPercentile(95)),
                            l.alert().name().toLowerCase(Locale.ROOT)));
        }
        return out.toString();
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    private static String millis(long micros) {
        return String.format(Locale.ROOT, "%.1f", micros / 1_000.0);
    }
}
