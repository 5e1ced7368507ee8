package org.godwithoist.loadtool.demo;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.load.BlockingHttpClient;
import org.godwithoist.loadtool.load.BookingClient;
import org.godwithoist.loadtool.load.ChatCaller;
import org.godwithoist.loadtool.load.EngineChecks;
import org.godwithoist.loadtool.load.FleetMap;
import org.godwithoist.loadtool.load.GuaranteeChecks;
import org.godwithoist.loadtool.load.OperatorClient;
import org.godwithoist.loadtool.load.Summary;
import org.godwithoist.loadtool.load.TurnResult;
import org.godwithoist.loadtool.trace.ChatPlan;
import org.godwithoist.loadtool.trace.Trace;

/** Runs the steps of the demonstration and prints their results. */
final class Demo {
    private static final WorkspaceId WORKSPACE = new WorkspaceId("workspace-0");
    private static final FailureDomainId DOMAIN = new FailureDomainId("domain-1");
    private static final Duration DEADLINE = Duration.ofSeconds(20);
    private static final Duration OUT_OF_SERVICE_BOUND = Duration.ofSeconds(3);
    private static final Duration USAGE_SETTLE_TIME = Duration.ofSeconds(12);
    private static final Duration TIMELINE_INTERVAL = Duration.ofSeconds(5);
    private static final int TURNS_PER_CHAT = 4;
    private static final double MEDIAN = 50;
    private static final double P95 = 95;

    private final Vertx vertx;
    private final FleetMap fleet;
    private final DemoOptions options;
    private final BlockingHttpClient http;
    private final OperatorClient operator;
    private final Summary summary = new Summary();
    private final GuaranteeChecks guarantees = new GuaranteeChecks();

    Demo(Vertx vertx, FleetMap fleet, DemoOptions options) {
        this.vertx = vertx;
        this.fleet = fleet;
        this.options = options;
        this.http = new BlockingHttpClient(vertx);
        this.operator = new OperatorClient(http, fleet);
    }

    /** Runs all steps; returns whether every checked guarantee holds. */
    boolean run() {
        streamOneResponse();
        bookTwice();
        long start = System.currentTimeMillis();
        List<Thread> callers = startLoad();
        long third = options.seconds() * 1_000L / 3;
        Tasks.sleep(Duration.ofMillis(third));
        long outAt = orderDomain(true);
        Tasks.sleep(Duration.ofMillis(third));
        long inAt = orderDomain(false);
        join(callers);
        System.out.println("waiting " + USAGE_SETTLE_TIME.toSeconds() + " s for usage to settle");
        Tasks.sleep(USAGE_SETTLE_TIME);
        report(start, outAt, inAt);
        return guarantees.allHold();
    }

    // ---- steps

    private void streamOneResponse() {
        System.out.println("one answer, streamed:");
        var turn = new ChatPlan.TurnPlan(Duration.ZERO, "My ring needs a new size.", 24);
        var plan =
                new ChatPlan(
                        new ChatId("demo-stream"), WORKSPACE, Priority.INTERACTIVE, List.of(turn));
        System.out.print("  ");
        TurnResult result =
                new ChatCaller(vertx, fleet, DEADLINE)
                        .sendFirstTurn(
                                plan,
                                text -> {
                                    System.out.print(text);
                                    System.out.flush();
                                });
        System.out.println();
        guarantees.check(result.outcome().complete(), "the streamed answer is whole");
        summary.add(result);
    }

    private void bookTwice() {
        System.out.println("a booking, repeated with the same key at another daemon:");
        BookingClient booking = new BookingClient(http, fleet);
        String key = "demo-booking-" + options.seed();
        HttpResponse<Buffer> first = booking.book(0, WORKSPACE, key, "ring 54");
        HttpResponse<Buffer> second = booking.book(1, WORKSPACE, key, "ring 54");
        HttpResponse<Buffer> other = booking.book(2, WORKSPACE, key, "ring 60");
        System.out.println("  first   " + first.statusCode() + " " + first.bodyAsString());
        System.out.println("  repeat  " + second.statusCode() + " " + second.bodyAsString());
        System.out.println("  other   " + other.statusCode() + " " + other.bodyAsString());
        guarantees.check(booking.countExecutions(key) == 1, "the booking ran once");
        guarantees.check(
                first.bodyAsString().equals(second.bodyAsString()),
                "the repeat got the answer of the first call");
        guarantees.check(other.statusCode() == 409, "the same key with another body is refused");
    }

    private List<Thread> startLoad() {
        System.out.printf(
                Locale.ROOT,
                "load: %d chats of %d turns for about %d s, %s%n",
                options.chats(),
                TURNS_PER_CHAT,
                options.seconds(),
                options.deployment().wireName());
        Duration pause = Duration.ofSeconds(options.seconds()).dividedBy(TURNS_PER_CHAT + 1);
        var plans =
                Trace.generate(
                        options.deployment(),
                        options.seed(),
                        options.chats(),
                        TURNS_PER_CHAT,
                        pause);
        ChatCaller caller = new ChatCaller(vertx, fleet, DEADLINE);
        List<Thread> threads = new ArrayList<>();
        for (ChatPlan plan : plans) {
            threads.add(
                    Tasks.start(
                            "chat-" + plan.chat(),
                            () -> caller.sendChat(plan, options.seed(), summary::add)));
        }
        return threads;
    }

    private long orderDomain(boolean out) {
        System.out.printf(
                Locale.ROOT,
                "%5d turns answered; failure domain %s %s%n",
                summary.turns(),
                DOMAIN,
                out ? "out of service" : "back in service");
        operator.orderDomain(DOMAIN, out);
        return System.currentTimeMillis();
    }

    private static void join(List<Thread> threads) {
        try {
            for (Thread t : threads) {
                t.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- results

    private void report(long start, long outAt, long inAt) {
        EngineChecks checks = new EngineChecks(AdmissionLimits.DEFAULT);
        for (FleetMap.TargetAddress e : fleet.engines()) {
            checks.add(
                    e.id(),
                    e.failureDomain(),
                    http.getJson(e.endpoint(), "/log", Map.of()).getJsonArray("log"));
        }
        System.out.println("answers by time:");
        System.out.print(summary.timeline(start, TIMELINE_INTERVAL));
        printOutcomes();
        EngineChecks.Skew skew = checks.skew();
        System.out.printf(
                Locale.ROOT,
                "load: %d accepts, peak %d at one engine, peak over mean %.2f%n",
                skew.accepts(),
                skew.peakLoad(),
                skew.peakRatio());
        printControlTraffic();
        long lateAccepts = checks.accepts(DOMAIN, outAt + OUT_OF_SERVICE_BOUND.toMillis(), inAt);
        System.out.println("promises:");
        guarantees.check(
                summary.count(TurnResult.Outcome.WRONG) == 0, "no answer was mixed or cut");
        guarantees.check(summary.count(TurnResult.Outcome.LOST) == 0, "no answer was lost");
        guarantees.check(skew.violations() == 0, "no engine was above the skew bound");
        guarantees.check(skew.coldViolations() == 0, "no cold engine was above its limit");
        guarantees.check(lateAccepts == 0, "no new work in the domain 3 s after it was taken out");
        checkUsage(checks);
    }

    private void printOutcomes() {
        System.out.printf(
                Locale.ROOT,
                "answers: %d turns, %d whole, %d late, %d wrong, %d refused, %d lost; "
                        + "%d refusals repeated by callers%n",
                summary.turns(),
                summary.count(TurnResult.Outcome.WHOLE),
                summary.count(TurnResult.Outcome.LATE),
                summary.count(TurnResult.Outcome.WRONG),
                summary.count(TurnResult.Outcome.REFUSED),
                summary.count(TurnResult.Outcome.LOST),
                summary.rejections());
        System.out.printf(
                Locale.ROOT, "cache reuse: %.1f %% of prompt tokens%n", summary.reuse() * 100);
        for (Priority p : Priority.values()) {
            Summary ofPriority = summary.filter(r -> r.priority() == p && r.outcome().complete());
            String times = ofPriority.turns() == 0 ? "no turns" : firstTokens(ofPriority);
            System.out.printf(Locale.ROOT, "first token, %-12s %s%n", p.wireName() + ":", times);
        }
    }

    private static String firstTokens(Summary turns) {
        return String.format(
                Locale.ROOT,
                "p50 %4d ms, p95 %4d ms",
                turns.firstToken(MEDIAN, r -> true).toMillis(),
                turns.firstToken(P95, r -> true).toMillis());
    }

    private void printControlTraffic() {
        for (FleetMap.DaemonAddress d : fleet.daemons()) {
            JsonObject status = operator.read(d.operatorEndpoint(), "/v1/status");
            System.out.printf(
                    Locale.ROOT,
                    "control traffic of %s: %.2f KB/s%n",
                    d.host(),
                    status.getDouble("control_bytes_per_second", 0.0) / 1_000);
        }
    }

    private void checkUsage(EngineChecks checks) {
        System.out.println("usage (requests, prompt tokens, completion tokens):");
        Map<String, long[]> counted = checks.usage();
        Map<String, JsonObject> accounted = settledUsage();
        boolean equal = true;
        for (var e : counted.entrySet()) {
            JsonObject settled = accounted.getOrDefault(e.getKey(), new JsonObject());
            long[] c = e.getValue();
            boolean same =
                    settled.getLong("prompt_tokens", 0L) == c[1]
                            && settled.getLong("completion_tokens", 0L) == c[2];
            equal &= same;
            System.out.printf(
                    Locale.ROOT,
                    "  %-14s engines %5d %8d %7d   accounts %8d %7d%s%n",
                    e.getKey(),
                    c[0],
                    c[1],
                    c[2],
                    settled.getLong("prompt_tokens", 0L),
                    settled.getLong("completion_tokens", 0L),
                    same ? "" : "   differ");
        }
        guarantees.check(equal, "the accounts equal what the engines counted");
    }

    private Map<String, JsonObject> settledUsage() {
        Map<String, JsonObject> accounted = new TreeMap<>();
        for (Object o : operator.read("/v1/usage").getJsonArray("workspaces")) {
            JsonObject w = (JsonObject) o;
            accounted.put(w.getString("workspace"), w.getJsonObject("settled"));
        }
        return accounted;
    }
}
