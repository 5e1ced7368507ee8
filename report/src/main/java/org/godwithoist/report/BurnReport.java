package org.godwithoist.report;

import java.time.Instant;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.godwithoist.core.error.ErrorCode;

/**
 * The burn report at one instant.
 *
 * @param at time of the report
 * @param lines one line for each series, the fastest burn first
 */
public record BurnReport(Instant at, List<Line> lines) {
    /** Copies the list. */
    public BurnReport {
        lines = List.copyOf(lines);
    }

    /**
     * State of one series. Counts refer to the last 6 h and times to the last hour.
     *
     * @param key the series
     * @param objective share of requests that must be good
     * @param counts counts
     * @param rates burn rates; 1 spends the budget exactly
     * @param budgetLeft share of the error budget that is left; negative if it is overspent
     * @param alert alert
     * @param history bad share of each interval of the last hour, oldest first; NaN without
     *     requests
     */
    public record Line(
            SeriesKey key,
            double objective,
            SeriesCounts counts,
            Map<BurnWindow, Double> rates,
            double budgetLeft,
            BurnAlert alert,
            List<Double> history) {
        /** Copies the collections. */
        public Line {
            rates = Map.copyOf(rates);
            history = List.copyOf(history);
        }

        /** Returns refused and failed requests by cause. */
        public Map<ErrorCode, Long> causes() {
            Map<ErrorCode, Long> sums = new EnumMap<>(ErrorCode.class);
            counts.refused().forEach((c, n) -> sums.merge(c, n, Long::sum));
            counts.failed().forEach((c, n) -> sums.merge(c, n, Long::sum));
            return sums;
        }
    }

    /**
     * Returns the burn rate: the bad share as a multiple of the permitted share.
     *
     * @param bad requests that spend the budget
     * @param total requests that the objective covers
     * @param objective share of requests that must be good
     */
    static double rate(long bad, long total, double objective) {
        return total == 0 ? 0 : (double) bad / total / (1 - objective);
    }
}
