package org.godwithoist.report;

import java.time.Duration;

/** Windows over which burn rates are computed. */
public enum BurnWindow {
    /** Shows whether a fast burn goes on. */
    FIVE_MINUTES("5m", Duration.ofMinutes(5)),
    /** Shows whether a slow burn goes on. */
    HALF_HOUR("30m", Duration.ofMinutes(30)),
    /** Shows a fast burn. */
    HOUR("1h", Duration.ofHours(1)),
    /** Shows a slow burn; also the window of the error budget. */
    SIX_HOURS("6h", Duration.ofHours(6));

    private final String label;
    private final int intervals;

    BurnWindow(String label, Duration length) {
        this.label = label;
        this.intervals = (int) length.dividedBy(IntervalCounts.LENGTH);
    }

    /** Returns the name in reports. */
    public String label() {
        return label;
    }

    /** Returns the length in intervals. */
    public int intervals() {
        return intervals;
    }
}
