package org.godwithoist.report;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.godwithoist.bundle.ServiceLevel;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.report.wire.TableBurnStore;
import org.godwithoist.store.Table;
import org.godwithoist.store.fake.FakeTableStore;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Measures the time and memory of a report over 6 h; run it with {@code
 * -Dtest=BurnReportMeasurement}.
 */
class BurnReportMeasurement {
    private static final int RESPONSES_PER_MINUTE = 20;

    @ParameterizedTest
    @ValueSource(ints = {10, 30, 100})
    void report(int series) {
        Instant now = Instant.parse("2026-01-01T12:00:00Z");
        FakeTableStore tables = new FakeTableStore();
        TableBurnStore store = new TableBurnStore(tables);
        Random random = new Random(1);
        long last = IntervalCounts.numberOf(now) - 1;
        for (long n = last; n > last - BurnWindow.SIX_HOURS.intervals(); n--) {
            IntervalCounts counts = IntervalCounts.empty(n);
            for (int s = 0; s < series; s++) {
                var key = new SeriesKey(new WorkspaceId("w" + s), Priority.INTERACTIVE);
                SeriesCounts c = counts.getOrAdd(key);
                c.addGood(RESPONSES_PER_MINUTE);
                for (int i = 0; i < RESPONSES_PER_MINUTE; i++) {
                    c.addFirstToken(100_000 + random.nextInt(800_000), 1);
                    c.addBetweenTokens(10_000 + random.nextInt(30_000), 100);
                }
            }
            store.write(new HostId("a"), 1, counts);
        }
        int rowBytes = tables.scan(Table.BURN, "").join().getFirst().value().length();
        System.gc();
        long before = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        var reporter =
                new BurnReporter(
                        store,
                        p -> new ServiceLevel(p, Duration.ZERO, Duration.ZERO, Duration.ZERO, 0.99),
                        () -> now);
        long start = System.nanoTime();
        int lines = reporter.report().lines().size();
        long firstNanos = System.nanoTime() - start;
        start = System.nanoTime();
        reporter.report();
        long nextNanos = System.nanoTime() - start;
        System.gc();
        long used = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        System.out.printf(
                "series=%d first_ms=%d next_ms=%d cache_kb=%d row_bytes=%d%n",
                lines,
                firstNanos / 1_000_000,
                nextNanos / 1_000_000,
                (used - before) / 1_024,
                rowBytes);
        reporter.report();
    }
}
