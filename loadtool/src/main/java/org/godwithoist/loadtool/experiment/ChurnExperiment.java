package org.godwithoist.loadtool.experiment;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.load.EngineChecks;
import org.godwithoist.loadtool.load.FleetMap;
import org.godwithoist.loadtool.load.Summary;
import org.godwithoist.loadtool.trace.Trace;

/** Replaces one engine every minute under a steady load of chats. */
final class ChurnExperiment {
    private static final Duration WARM_UP = Duration.ofSeconds(30);
    private static final Duration REPLACEMENT_INTERVAL = Duration.ofSeconds(60);
    private static final Duration ROW_INTERVAL = Duration.ofSeconds(10);

    /**
     * Guaranteed maximum time from the new host list until a draining engine accepts no request.
     */
    private static final Duration DRAINING_BOUND = Duration.ofSeconds(3);

    private final ExperimentContext context;
    private final List<Replacement> replacements = new ArrayList<>();

    /** A replaced engine, its replacement and the time at which the new host list was published. */
    private record Replacement(
            FleetMap.TargetAddress draining, FleetMap.TargetAddress joining, long atMillis) {}

    ChurnExperiment(ExperimentContext context) {
        this.context = context;
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
        Tasks.sleep(WARM_UP);
        long end = start + context.duration().toMillis();
        while (System.currentTimeMillis() < end
                && replacements.size() < context.fleet().spares().size()) {
            replace(replacements.size());
            Tasks.sleep(REPLACEMENT_INTERVAL);
        }
        Tasks.sleep(Duration.ofMillis(end - System.currentTimeMillis()));
        Summary turns = load.stop();
        EngineChecks checks = context.engineChecks();
        long now = System.currentTimeMillis();
        for (FleetMap.TargetAddress spare : context.fleet().spares()) {
            checks.excludeFromMean(spare.id(), 0, joinedAt(spare, now));
        }
        replacements.forEach(r -> checks.excludeFromMean(r.draining().id(), r.atMillis(), now));
        context.checkChatGuarantees(turns, checks.skew());
        for (Replacement r : replacements) {
            long lateAccepts =
                    checks.accepts(
                            r.draining().id(), r.atMillis() + DRAINING_BOUND.toMillis(), now);
            context.guarantees()
                    .check(
                            lateAccepts == 0,
                            "no accept at "
                                    + r.draining().id()
                                    + " from 3 s after it was listed as leaving: "
                                    + lateAccepts);
        }
        return table(turns, checks, start, end);
    }

    private long joinedAt(FleetMap.TargetAddress spare, long defaultMillis) {
        return replacements.stream()
                .filter(r -> r.joining().equals(spare))
                .mapToLong(Replacement::atMillis)
                .findFirst()
                .orElse(defaultMillis);
    }

    /** Publishes a host list that marks an engine as leaving and adds a cold spare as live. */
    private void replace(int index) {
        FleetMap.TargetAddress draining = context.fleet().engines().get(index);
        FleetMap.TargetAddress joining = context.fleet().spares().get(index);
        Endpoint platform = context.fleet().platform();
        JsonArray hosts =
                context.http().getJson(platform, "/hosts", Map.of()).getJsonArray("hosts");
        JsonArray changed = hosts.copy();
        for (int i = 0; i < hosts.size(); i++) {
            if (draining.id().value().equals(hosts.getJsonObject(i).getString("target"))) {
                changed.getJsonObject(i).put("state", "leaving");
                changed.add(
                        hosts.getJsonObject(i)
                                .copy()
                                .put("host", "host-" + joining.id())
                                .put("target", joining.id().value())
                                .put("address", joining.endpoint().toString()));
            }
        }
        var body = new JsonObject().put("hosts", changed).toBuffer();
        context.http().send(HttpMethod.PUT, platform, "/hosts", Map.of(), body);
        replacements.add(new Replacement(draining, joining, System.currentTimeMillis()));
        System.out.printf(Locale.ROOT, "%s replaces %s%n", joining.id(), draining.id());
    }

    private Table table(Summary turns, EngineChecks checks, long start, long end) {
        List<String> headings = new ArrayList<>(List.of("from s", "replaced"));
        headings.addAll(ChatColumns.headings());
        headings.add("peak load");
        Table table = new Table(headings);
        for (long from = start; from < end; from += ROW_INTERVAL.toMillis()) {
            long rowStart = from;
            long rowEnd = from + ROW_INTERVAL.toMillis();
            List<String> row = new ArrayList<>();
            row.add(Long.toString((rowStart - start) / 1_000));
            row.add(
                    Long.toString(
                            replacements.stream()
                                    .filter(r -> r.atMillis() >= rowStart && r.atMillis() < rowEnd)
                                    .count()));
            row.addAll(
                    ChatColumns.cells(
                            turns.filter(
                                    r ->
                                            r.startedMillis() >= rowStart
                                                    && r.startedMillis() < rowEnd)));
            row.add(Integer.toString(checks.peakLoad(rowStart, rowEnd)));
            table.add(row);
        }
        return table;
    }
}
