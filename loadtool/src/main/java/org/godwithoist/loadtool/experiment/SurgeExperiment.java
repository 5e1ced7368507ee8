package org.godwithoist.loadtool.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.load.Summary;
import org.godwithoist.loadtool.load.TurnResult;
import org.godwithoist.loadtool.trace.ChatPlan;
import org.godwithoist.loadtool.trace.Trace;

/**
 * One large workspace sends ten times its load. The first-token times of the others must stay
 * within their objectives.
 */
final class SurgeExperiment {
    private static final WorkspaceId SURGING_WORKSPACE = new WorkspaceId("workspace-0");
    private static final int SURGE_FACTOR = 10;
    private static final double P95 = 95;

    /** Warm-up for engines and caches; not part of the comparison. */
    private static final Duration WARM_UP = Duration.ofSeconds(20);

    /** First-token objectives of the service levels in the bundle that {@code DemoSetup} writes. */
    private static final Map<Priority, Duration> FIRST_TOKEN_OBJECTIVES =
            Map.of(
                    Priority.URGENT, Duration.ofMillis(500),
                    Priority.INTERACTIVE, Duration.ofMillis(1_000),
                    Priority.BACKGROUND, Duration.ofMillis(20_000));

    private final ExperimentContext context;

    SurgeExperiment(ExperimentContext context) {
        this.context = context;
    }

    Table run() {
        Duration half = context.duration().dividedBy(2);
        List<ChatPlan> plans = generateChats(WARM_UP.plus(context.duration()));
        int perCaller = ChatLoad.chatsPerCaller(WARM_UP.plus(context.duration()));
        List<ChatPlan> usual = plans.subList(0, context.callers() * perCaller);
        List<ChatPlan> extra =
                plans.subList(usual.size(), plans.size()).stream()
                        .filter(p -> p.workspace().equals(SURGING_WORKSPACE))
                        .toList();
        ChatLoad load = new ChatLoad(context);
        load.start(usual, context.callers());
        Tasks.sleep(WARM_UP);
        long from = System.currentTimeMillis();
        Tasks.sleep(half);
        long surgeAt = System.currentTimeMillis();
        int surging = extra.size() / perCaller;
        System.out.printf(Locale.ROOT, "%d callers; surge: %d more%n", context.callers(), surging);
        load.start(extra, surging);
        Tasks.sleep(half);
        long end = System.currentTimeMillis();
        Summary turns = load.stop();
        context.checkChatGuarantees(turns, context.engineChecks().skew());
        Summary before = turns.filter(r -> startedWithin(r, from, surgeAt));
        Summary during = turns.filter(r -> startedWithin(r, surgeAt, end));
        checkObjectives(during.filter(SurgeExperiment::notSurging));
        return table(before, during);
    }

    /** Generates the usual chats, followed by those from which the surge is selected. */
    private List<ChatPlan> generateChats(Duration duration) {
        int chats = context.callers() * ChatLoad.chatsPerCaller(duration);
        return Trace.generate(
                context.deployment(),
                context.seed(),
                chats * SURGE_FACTOR,
                ChatLoad.TURNS_PER_CHAT,
                ChatLoad.MEAN_PAUSE);
    }

    private void checkObjectives(Summary notSurging) {
        for (Priority p : Priority.values()) {
            Duration p95 = notSurging.firstToken(P95, r -> r.priority() == p);
            context.guarantees()
                    .check(
                            p95.compareTo(FIRST_TOKEN_OBJECTIVES.get(p)) <= 0,
                            "p95 to the first token of the others during the surge, "
                                    + p.wireName()
                                    + ": "
                                    + p95.toMillis()
                                    + " ms of at most "
                                    + FIRST_TOKEN_OBJECTIVES.get(p).toMillis());
        }
    }

    private static Table table(Summary before, Summary during) {
        List<String> headings = new ArrayList<>(List.of("phase", "workspaces"));
        headings.addAll(ChatColumns.headings());
        Table table = new Table(headings);
        add(table, "usual", "others", before.filter(SurgeExperiment::notSurging));
        add(table, "surge", "others", during.filter(SurgeExperiment::notSurging));
        add(table, "usual", "surging", before.filter(r -> !notSurging(r)));
        add(table, "surge", "surging", during.filter(r -> !notSurging(r)));
        return table;
    }

    private static void add(Table table, String phase, String workspaces, Summary turns) {
        List<String> row = new ArrayList<>(List.of(phase, workspaces));
        row.addAll(ChatColumns.cells(turns));
        table.add(row);
    }

    private static boolean startedWithin(TurnResult r, long from, long to) {
        return r.startedMillis() >= from && r.startedMillis() < to;
    }

    private static boolean notSurging(TurnResult r) {
        return !r.workspace().equals(SURGING_WORKSPACE);
    }
}
