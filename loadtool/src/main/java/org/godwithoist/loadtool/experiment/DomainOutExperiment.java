package org.godwithoist.loadtool.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.load.EngineChecks;
import org.godwithoist.loadtool.load.FleetMap;
import org.godwithoist.loadtool.load.OperatorClient;
import org.godwithoist.loadtool.load.Summary;
import org.godwithoist.loadtool.trace.Trace;

/** Takes a failure domain out of service and back in service under a steady load of chats. */
final class DomainOutExperiment {
    private static final FailureDomainId DOMAIN = new FailureDomainId("domain-1");
    private static final Duration ROW_INTERVAL = Duration.ofSeconds(5);

    /** Guaranteed maximum time from the order until no engine of the domain accepts a request. */
    private static final Duration OUT_OF_SERVICE_BOUND = Duration.ofSeconds(3);

    private static final int PHASES = 3;

    private final ExperimentContext context;
    private final OperatorClient operator;
    private long outAt;
    private long inAt;

    DomainOutExperiment(ExperimentContext context) {
        this.context = context;
        operator = new OperatorClient(context.http(), context.fleet());
    }

    Table run() {
        ChatLoad load = new ChatLoad(context);
        int chats = context.callers() * ChatLoad.chatsPerCaller(context.duration());
        long start = System.currentTimeMillis();
        load.start(
                Trace.generate(
                        context.deployment(),
                        context.seed(),
                        chats,
                        ChatLoad.TURNS_PER_CHAT,
                        ChatLoad.MEAN_PAUSE),
                context.callers());
        Duration phase = context.duration().dividedBy(PHASES);
        Tasks.sleep(phase);
        outAt = System.currentTimeMillis();
        operator.orderDomain(DOMAIN, true);
        long outAcknowledged = System.currentTimeMillis();
        Tasks.sleep(phase);
        inAt = System.currentTimeMillis();
        operator.orderDomain(DOMAIN, false);
        Tasks.sleep(phase);
        long end = System.currentTimeMillis();
        Summary turns = load.stop();
        System.out.printf(
                Locale.ROOT,
                "domain %s ordered out at %.1f s (answered after %d ms), in at %.1f s%n",
                DOMAIN,
                (outAt - start) / 1e3,
                outAcknowledged - outAt,
                (inAt - start) / 1e3);
        EngineChecks checks = context.engineChecks();
        for (FleetMap.TargetAddress e : context.fleet().engines()) {
            if (e.failureDomain().equals(DOMAIN)) {
                checks.excludeFromMean(e.id(), outAt, inAt);
            }
        }
        checkBounds(turns, checks, end);
        return table(turns, checks, start, end);
    }

    private void checkBounds(Summary turns, EngineChecks checks, long end) {
        context.checkChatGuarantees(turns, checks.skew());
        long accepts = checks.accepts(DOMAIN, outAt + OUT_OF_SERVICE_BOUND.toMillis(), inAt);
        context.guarantees()
                .check(
                        accepts == 0,
                        "no accept in the domain from 3 s after the order out until the order in: "
                                + accepts);
        System.out.println(
                "  largest load of an engine after the return: "
                        + checks.peakLoad(inAt, end)
                        + ", before the departure: "
                        + checks.peakLoad(0, outAt));
    }

    private Table table(Summary turns, EngineChecks checks, long start, long end) {
        List<String> headings = new ArrayList<>(List.of("from s", "domain"));
        headings.addAll(ChatColumns.headings());
        headings.addAll(List.of("accepts in domain", "after 3 s", "peak load"));
        Table table = new Table(headings);
        for (long from = start; from < end; from += ROW_INTERVAL.toMillis()) {
            long rowStart = from;
            long rowEnd = from + ROW_INTERVAL.toMillis();
            List<String> row = new ArrayList<>();
            row.add(Long.toString((rowStart - start) / 1_000));
            row.add(rowStart < outAt ? "in" : rowStart < inAt ? "out" : "back");
            row.addAll(
                    ChatColumns.cells(
                            turns.filter(
                                    r ->
                                            r.startedMillis() >= rowStart
                                                    && r.startedMillis() < rowEnd)));
            row.add(Long.toString(checks.accepts(DOMAIN, rowStart, rowEnd)));
            long boundFrom = Math.max(rowStart, outAt + OUT_OF_SERVICE_BOUND.toMillis());
            row.add(Long.toString(checks.accepts(DOMAIN, boundFrom, Math.min(rowEnd, inAt))));
            row.add(Integer.toString(checks.peakLoad(rowStart, rowEnd)));
            table.add(row);
        }
        return table;
    }
}
