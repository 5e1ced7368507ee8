package org.godwithoist.accounting;

import java.time.Duration;
import java.util.Arrays;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.store.Table;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Measures settlement and replication; run with {@code -Dtest=UsageFlushMeasurement}. */
class UsageFlushMeasurement {
    private static final int ROUNDS = 400;

    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1_000, 2_300})
    void flush(int workspaces) {
        FakeFleet fleet = new FakeFleet();
        UsageAccounts a = fleet.daemon("a", 1);
        fleet.daemon("b", 1);
        long[] nanos = new long[ROUNDS];
        long openNanos = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long opened = System.nanoTime();
            for (int w = 0; w < workspaces; w++) {
                RequestId id = new RequestId(round + "-" + w);
                a.open(id, new WorkspaceId("workspace-" + w), FakeFleet.TARGET);
                a.close(id, new Usage(1, 12_000, 11_000, 350));
            }
            openNanos += System.nanoTime() - opened;
            while (!a.replicateOnce()) {
                fleet.ticker.advance(Duration.ofMillis(1));
            }
            long start = System.nanoTime();
            a.settleOnce();
            nanos[round] = System.nanoTime() - start;
        }
        Arrays.sort(nanos, ROUNDS / 2, ROUNDS);
        int bytes = fleet.store.scan(Table.USAGE, "").join().getLast().value().length();
        System.out.printf(
                "workspaces=%d flush_us=%d rows_per_flush=%.2f row_bytes=%d open_close_ns=%d%n",
                workspaces,
                nanos[ROUNDS * 3 / 4] / 1_000,
                fleet.store.writes() / (double) ROUNDS,
                bytes,
                openNanos / ROUNDS / workspaces);
    }

    /** Measures the memory use of a daemon and its replica during a store outage. */
    @Test
    void outage() {
        FakeFleet fleet = new FakeFleet();
        UsageAccounts a = fleet.daemon("a", 1);
        UsageAccounts b = fleet.daemon("b", 1);
        int attempts = 200_000;
        long before = usedBytes();
        for (int i = 0; i < attempts; i++) {
            RequestId id = new RequestId("0b5a9c1e-3d8b-4c57-9f6e-" + i);
            a.open(id, new WorkspaceId("workspace-" + i % 100), FakeFleet.TARGET);
            a.close(id, new Usage(1, 12_000, 11_000, 350));
            a.replicateOnce();
        }
        System.out.printf(
                "outage bytes_per_attempt=%d held=%d%n",
                (usedBytes() - before) / attempts,
                a.knownUsage().own().size() + b.knownUsage().held().size());
    }

    private static long usedBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
