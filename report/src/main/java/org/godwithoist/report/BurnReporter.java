package org.godwithoist.report;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.godwithoist.bundle.ServiceLevel;
import org.godwithoist.core.Priority;

/**
 * Computes burn reports from the request counts of the fleet. Thread-safe. Counts of the last 6 h
 * and latencies of the last hour are cached, so that a report reads only new intervals from the
 * store.
 */
public final class BurnReporter {
    /** Most recent intervals that are not cached, because daemons may still write to them. */
    private static final int UNCACHED_INTERVALS = 5;

    private final BurnStore store;
    private final Function<Priority, ServiceLevel> levels;
    private final InstantSource clock;
    private final Map<Long, IntervalCounts> cache = new TreeMap<>();

    /**
     * Creates a reporter with an empty cache.
     *
     * @param levels service level of each priority
     */
    public BurnReporter(
            BurnStore store, Function<Priority, ServiceLevel> levels, InstantSource clock) {
        this.store = store;
        this.levels = levels;
        this.clock = clock;
    }

    /**
     * Computes the report for the current time. The current interval contains only what the daemons
     * have written so far. Blocks, and fails if the store does not respond.
     */
    public synchronized BurnReport report() {
        long now = IntervalCounts.numberOf(clock.instant());
        List<IntervalCounts> newestFirst = readIntervals(now - 1);
        newestFirst.set(0, sum(newestFirst.get(0), store.read(now)));
        var keys = new TreeSet<SeriesKey>();
        newestFirst.forEach(i -> keys.addAll(i.series().keySet()));
        List<BurnReport.Line> lines = new ArrayList<>();
        for (SeriesKey key : keys) {
            double objective = levels.apply(key.priority()).objective();
            lines.add(line(key, objective, newestFirst));
        }
        lines.sort(
                Comparator.comparing(BurnReport.Line::alert)
                        .thenComparing(l -> l.rates().get(BurnWindow.HOUR))
                        .reversed()
                        .thenComparing(BurnReport.Line::key));
        return new BurnReport(clock.instant(), lines);
    }

    /** Adds the current interval to the last complete one, so that each window includes it. */
    private static IntervalCounts sum(IntervalCounts ended, IntervalCounts current) {
        IntervalCounts sum = IntervalCounts.empty(ended.number());
        sum.add(ended);
        sum.add(current);
        return sum;
    }

    private List<IntervalCounts> readIntervals(long last) {
        List<IntervalCounts> list = new ArrayList<>();
        long first = last - BurnWindow.SIX_HOURS.intervals() + 1;
        for (long n = last; n >= first; n--) {
            IntervalCounts counts = cache.get(n);
            if (counts == null) {
                counts = store.read(n);
            }
            if (n <= last - UNCACHED_INTERVALS) {
                cache.put(n, counts);
            }
            if (n <= last - BurnWindow.HOUR.intervals()) {
                counts.series().values().forEach(SeriesCounts::dropLatencies);
            }
            list.add(counts);
        }
        cache.keySet().removeIf(n -> n < first);
        return list;
    }

    private static BurnReport.Line line(
            SeriesKey key, double objective, List<IntervalCounts> newestFirst) {
        SeriesCounts sum = new SeriesCounts();
        Map<BurnWindow, Double> rates = new EnumMap<>(BurnWindow.class);
        List<Double> history = new ArrayList<>();
        for (int i = 0; i < newestFirst.size(); i++) {
            SeriesCounts counts = newestFirst.get(i).series().get(key);
            if (counts != null) {
                sum.add(counts);
            }
            if (i < BurnWindow.HOUR.intervals()) {
                boolean noRequests = counts == null || counts.total() == 0;
                history.addFirst(noRequests ? Double.NaN : (double) counts.bad() / counts.total());
            }
            for (BurnWindow w : BurnWindow.values()) {
                if (w.intervals() == i + 1) {
                    rates.put(w, BurnReport.burnRate(sum.bad(), sum.total(), objective));
                }
            }
        }
        double remainingBudget = 1 - BurnReport.burnRate(sum.bad(), sum.total(), objective);
        return new BurnReport.Line(
                key, objective, sum, rates, remainingBudget, BurnAlert.of(rates), history);
    }
}
