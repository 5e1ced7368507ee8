package org.godwithoist.report;

import java.time.Duration;

/** Windows over which burn rates are computed. */
public enum BurnWindow {
    /** Shows whether a fast burn is still in progress. */
    FIVE_MINUTES("5m", Duration.ofMinutes(5)),
    /** Shows whether a slow burn is still in progress. */
    HALF_HOUR("30m", Duration.ofMinutes(30)),
    /** Detects a fast burn. */
    HOUR("1h", Duration.ofHours(1)),
    /** Detects a slow burn; also the window of the error budget. */
    SIX_HOURS("6h", Duration.ofHours(6));

    private final String label;
    private final int intervals;

    BurnWindow(String label, Duration length) {
        this.label = label;
        this.intervals = (int) length.dividedBy(IntervalCounts.LENGTH);
    }

    /** Returns the name used in reports, such as "5m". */
    public String label() {
        return label;
    }

    /** Returns the length in intervals. */
    public int intervals() {
        return intervals;
    }
}
