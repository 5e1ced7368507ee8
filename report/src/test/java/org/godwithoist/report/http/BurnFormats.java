package org.godwithoist.report.http;

import org.godwithoist.report.BurnReport;

/** Gives tests of the root package access to the formats. */
public final class BurnFormats {
    private BurnFormats() {}

    /** Returns the HTML page. */
    public static String html(BurnReport report) {
        return BurnHtml.format(report);
    }

    /** Returns the JSON text. */
    public static String json(BurnReport report) {
        return BurnReportJson.format(report).encode();
    }
}
