package org.godwithoist.report;

import java.util.Map;

/**
 * Alert on the burn rate, which must exceed the threshold in two windows. The long window shows
 * that a significant part of the error budget is spent; the short window ends the alert soon after
 * the failures end.
 */
public enum BurnAlert {
    /** No action is required. */
    NONE(0, BurnWindow.FIVE_MINUTES, BurnWindow.FIVE_MINUTES) {
        @Override
        boolean fires(Map<BurnWindow, Double> rates) {
            return true;
        }
    },
    /** A rate of 6 spends 5 % of a 30-day budget in 6 h: investigate within the day. */
    TICKET(6, BurnWindow.SIX_HOURS, BurnWindow.HALF_HOUR),
    /** A rate of 14.4 spends 2 % of a 30-day budget in an hour: act immediately. */
    PAGE(14.4, BurnWindow.HOUR, BurnWindow.FIVE_MINUTES);

    private final double threshold;
    private final BurnWindow longWindow;
    private final BurnWindow shortWindow;

    BurnAlert(double threshold, BurnWindow longWindow, BurnWindow shortWindow) {
        this.threshold = threshold;
        this.longWindow = longWindow;
        this.shortWindow = shortWindow;
    }

    boolean fires(Map<BurnWindow, Double> rates) {
        return rates.get(longWindow) > threshold && rates.get(shortWindow) > threshold;
    }

    /** Returns the most urgent alert for the given burn rates. */
    public static BurnAlert of(Map<BurnWindow, Double> rates) {
        for (int i = values().length - 1; i > 0; i--) {
            if (values()[i].fires(rates)) {
                return values()[i];
            }
        }
        return NONE;
    }
}
