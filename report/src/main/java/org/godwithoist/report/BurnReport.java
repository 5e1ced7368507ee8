package org.godwithoist.report;

import java.time.Instant;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.godwithoist.core.error.ErrorCode;

/**
 * Burn report at one instant.
 *
 * @param at time of the report
 * @param lines one line for each series, the most urgent alert and fastest burn first
 */
public record BurnReport(Instant at, List<Line> lines) {
    /** Makes an unmodifiable copy of the list. */
    public BurnReport {
        lines = List.copyOf(lines);
    }

    /**
     * State of one series. Counts cover the last 6 h and latencies the last hour.
     *
     * @param key workspace and priority of the series
     * @param objective share of requests that must be good, from 0 to 1
     * @param counts sum over the last 6 h
     * @param rates burn rate of each window; at 1 the error budget is spent exactly
     * @param remainingBudget remaining share of the error budget; negative if it is overspent
     * @param alert most urgent alert
     * @param history share of bad requests in each interval of the last hour, oldest first; NaN for
     *     an interval without requests
     */
    public record Line(
            SeriesKey key,
            double objective,
            SeriesCounts counts,
            Map<BurnWindow, Double> rates,
            double remainingBudget,
            BurnAlert alert,
            List<Double> history) {
        /** Makes unmodifiable copies of the collections. */
        public Line {
            rates = Map.copyOf(rates);
            history = List.copyOf(history);
        }

        /** Returns the number of refused and failed requests by error code. */
        public Map<ErrorCode, Long> causes() {
            Map<ErrorCode, Long> sums = new EnumMap<>(ErrorCode.class);
            counts.refused().forEach((c, n) -> sums.merge(c, n, Long::sum));
            counts.failed().forEach((c, n) -> sums.merge(c, n, Long::sum));
            return sums;
        }
    }

    /**
     * Returns the burn rate: the share of bad requests as a multiple of the permitted share.
     *
     * @param bad requests that spend the error budget
     * @param total requests that the objective covers
     * @param objective share of requests that must be good
     */
    static double burnRate(long bad, long total, double objective) {
        return total == 0 ? 0 : (double) bad / total / (1 - objective);
    }
}
