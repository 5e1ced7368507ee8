package org.godwithoist.report.http;

import org.godwithoist.report.BurnReport;

/** Gives tests in the parent package access to the package-private formats. */
public final class BurnFormats {
    private BurnFormats() {}

    /** Formats a report as HTML. */
    public static String html(BurnReport report) {
        return BurnHtml.format(report);
    }

    /** Formats a report as JSON text. */
    public static String json(BurnReport report) {
        return BurnReportJson.format(report).encode();
    }
}
