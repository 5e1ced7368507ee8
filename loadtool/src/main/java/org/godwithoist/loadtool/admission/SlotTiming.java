package org.godwithoist.loadtool.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.admission.AdmissionTiming;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.ShardView;
import org.godwithoist.admission.Slot;
import org.godwithoist.admission.SlotCache;
import org.godwithoist.admission.SlotLedger;
import org.godwithoist.admission.SlotPolicy;
import org.godwithoist.admission.SlotReport;
import org.godwithoist.admission.SlotReportResponse;
import org.godwithoist.admission.TargetLoadReports;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;

/**
 * Microbenchmark of a local slot (acquire, use and release of a reserved slot) and of a grant by
 * the ledger (one exchange with one demand), with several numbers of targets.
 */
public final class SlotTiming {
    private static final ShardId SHARD = new ShardId(new PoolId("p"), 0);
    private static final HostId HOLDER = new HostId("holder");
    private static final int[] TARGET_COUNTS = {10, 100, 1000};
    private static final int LOCAL_ITERATIONS = 2_000_000;
    private static final int GRANT_ITERATIONS = 200_000_000;
    private static final AdmissionLimits LIMITS =
            new AdmissionLimits(1.5, 1 << 20, 1 << 20, 2, 3.0, 1 << 20, 1, 1);

    private final VirtualTicker clock = new VirtualTicker();
    private final List<TargetId> targets = new ArrayList<>();
    private final SlotLedger ledger;

    private SlotTiming(int count) {
        clock.advance(Duration.ofHours(1));
        List<Target> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TargetId id = new TargetId("runner-" + i);
            targets.add(id);
            members.add(
                    new Target(
                            id,
                            new HostId("x"),
                            SHARD.pool(),
                            new FailureDomainId("d"),
                            Endpoint.parse("127.0.0.1:1"),
                            ServiceState.IN_SERVICE));
        }
        var view =
                new ShardView(
                        LIMITS,
                        true,
                        members,
                        Set.of(HOLDER),
                        h -> false,
                        w -> 1,
                        TargetLoadReports.NONE);
        ledger = new SlotLedger(SHARD, 1, AdmissionTiming.DEFAULT, clock, view);
    }

    /** Runs the benchmark and prints a table; takes no arguments. */
    public static void main(String[] args) {
        System.out.println("| targets | local slot ns | ledger grant ns |");
        System.out.println("|---|---|---|");
        for (int count : TARGET_COUNTS) {
            // The first run of each is a warm-up for the JIT compiler.
            new SlotTiming(count).measureLocalSlot();
            long local = new SlotTiming(count).measureLocalSlot();
            int iterations = GRANT_ITERATIONS / count / TARGET_COUNTS[TARGET_COUNTS.length - 1];
            new SlotTiming(count).measureGrants(iterations);
            long grant = new SlotTiming(count).measureGrants(iterations);
            System.out.println(String.format(Locale.ROOT, "| %d | %d | %d |", count, local, grant));
        }
    }

    private long measureLocalSlot() {
        SlotCache cache =
                new SlotCache(SHARD, 1, AdmissionTiming.DEFAULT, clock, new OneReservedSlot());
        cache.setEpoch(1);
        for (int i = 0; i < 2; i++) {
            SlotReport report = cache.report();
            cache.onResponse(report, ledger.exchange(HOLDER, report, true));
            targets.forEach(cache::expectedWait);
            targets.forEach(t -> cache.tryAcquire(t).ifPresent(SlotTiming::finish));
        }
        long start = System.nanoTime();
        int acquired = 0;
        for (int i = 0; i < LOCAL_ITERATIONS; i++) {
            Optional<Slot> slot = cache.tryAcquire(targets.get(i % targets.size()));
            if (slot.isPresent()) {
                acquired++;
                finish(slot.get());
            }
        }
        long nanos = System.nanoTime() - start;
        if (acquired != LOCAL_ITERATIONS) {
            throw new IllegalStateException(
                    "acquired " + acquired + " of " + LOCAL_ITERATIONS + " slots");
        }
        return nanos / LOCAL_ITERATIONS;
    }

    private static void finish(Slot slot) {
        slot.use();
        slot.release(Slot.Outcome.CANCELLED, Duration.ZERO);
    }

    private long measureGrants(int iterations) {
        ledger.exchange(HOLDER, report(1, List.of()), true);
        WorkspaceId workspace = new WorkspaceId("w");
        int granted = 0;
        long start = System.nanoTime();
        for (int i = 0; i < iterations; i++) {
            var demand =
                    new SlotReport.Demand(
                            targets.get(i % targets.size()),
                            workspace,
                            Priority.INTERACTIVE,
                            1,
                            Duration.ZERO);
            SlotReportResponse response =
                    ledger.exchange(HOLDER, report(i + 2, List.of(demand)), true);
            granted += response.grants().size();
        }
        long nanos = System.nanoTime() - start;
        if (granted != iterations) {
            throw new IllegalStateException("granted " + granted + " of " + iterations + " slots");
        }
        return nanos / iterations;
    }

    private static SlotReport report(long sequence, List<SlotReport.Demand> demands) {
        return new SlotReport(SHARD, 1, 1, sequence, 0, 0, 0, List.of(), demands, List.of());
    }

    private static final class OneReservedSlot implements SlotPolicy {
        @Override
        public boolean acceptsWork(TargetId target) {
            return true;
        }

        @Override
        public int reservedHeld(TargetId target) {
            return 1;
        }

        @Override
        public boolean inContactWithAll() {
            return true;
        }

        @Override
        public boolean reservedFitWithoutOwner(TargetId target, long since) {
            return false;
        }
    }
}
