import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams that may be resumed, on engines of which some send an extra answer late. Part of the
 * streams pause for some seconds in the middle, because the engine has preempted them.
 */
final class CaseTwice {
    private static final int SECONDS = 60;
    private static final int PER_SECOND = 24;

    /** Dose of the site's entry: garble, how extra late, share 0.6, x 0.03. */
    private static final double EXTRA_SHARE = 0.6;

    private static final double EXTRA_X = 0.03;

    /** Share of the streams that are preempted once, and how long they wait to be read in again. */
    private static final double PREEMPTED = 0.25;

    private static final int PAUSE_MS = 4000;

    /** A run of a request at a runner; {@code endedAt} is 0 while it goes on. */
    private static final class Part {
        String runner;
        double begunAt;
        volatile double endedAt;
        volatile String end = "";
        String resumedAfter;
    }

    private final Bench bench;
    private final Map<String, List<Part>> parts = new ConcurrentHashMap<>();
    private final Map<Runner.Connection, String> owed = new ConcurrentHashMap<>();
    private final Set<String> extraRunners = ConcurrentHashMap.newKeySet();
    private final AtomicInteger extras = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();

    private CaseTwice(Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Bench.play(args[0], b -> new CaseTwice(b).run());
    }

    private int run() throws IOException, InterruptedException {
        bench.store.put("op", "config", Bench.config());
        for (int i = 0; i < 5; i++) {
            Runner r = bench.runner("huvo11a", 64, this::stream);
            if (i < 5 * EXTRA_SHARE) {
                extraRunners.add(r.id);
            }
        }
        Daemon d = bench.daemon();
        d.awaitReady(20_000);
        Thread.sleep(4000);
        Random random = new Random();
        List<Thread> calls = new ArrayList<>();
        for (int i = 0; i < SECONDS * PER_SECOND; i++) {
            String id = "est-" + i;
            int subject = random.nextInt(27);
            calls.add(Thread.ofVirtual().start(() -> call(d, id, subject)));
            Thread.sleep(Math.round(1000.0 / PER_SECOND * (0.5 + random.nextDouble())));
        }
        for (Thread t : calls) {
            t.join();
        }
        Thread.sleep(1000);
        return judge();
    }

    private void call(Daemon d, String id, int subject) {
        sent.incrementAndGet();
        String result;
        try (Client c = new Client(d)) {
            String prefix = "X-Godwithoist-Model: m\r\nX-Godwithoist-Token-Usage: 11812,384\r\n"
                    + "X-Godwithoist-Prompt-Prefix: a1:512,b" + subject + ":10000,c" + id + ":1300\r\n";
            c.send(Client.head("POST", "/lohu930/2f", id, 15_000, Client.key() + prefix + "Content-Length: 600\r\n")
                    + "\r\n" + "x".repeat(600));
            Http.Message m = c.receive(15_500);
            result = m == null ? "closed without an answer" : "status " + m.status();
            if (m != null && m.status() == 200 && m.text().contains("piece 12 of " + id)) {
                served.incrementAndGet();
            }
        } catch (IOException e) {
            result = "cut: " + e;
        }
        bench.log("client %s: %s", id, result);
    }

    private void stream(Runner.Run run) throws IOException, InterruptedException {
        String extra = owed.remove(run.connection);
        if (extra != null) {
            // The extra answer of the request before, where the next answer is expected.
            extras.incrementAndGet();
            bench.log("runner %s sends an extra answer to %s before that to %s", run.runner().id, extra, run.attempt);
            run.write(run.head(200).replace(run.attempt, extra) + "Content-Length: 5\r\n\r\nextra");
        }
        Part part = new Part();
        part.runner = run.runner().id;
        part.resumedAfter = run.request.field("Last-Event-Id");
        part.begunAt = bench.now();
        parts.computeIfAbsent(run.attempt, a -> new CopyOnWriteArrayList<>()).add(part);
        part.end = "dropped, as its connection was closed";
        try {
            Random random = new Random();
            boolean preempted = part.resumedAfter.isEmpty() && random.nextDouble() < PREEMPTED;
            int first = part.resumedAfter.isEmpty() ? 1 : Integer.parseInt(part.resumedAfter) + 1;
            if (!run.work(100)) {
                return;
            }
            run.startStream();
            for (int i = first; i <= 12; i++) {
                if (!run.work(preempted && i == 4 ? PAUSE_MS : 25)) {
                    return;
                }
                run.event(i);
            }
            run.endStream();
            part.end = "complete";
            if (bench.trouble && extraRunners.contains(part.runner) && random.nextDouble() < EXTRA_X) {
                owed.put(run.connection, run.attempt);
            }
        } finally {
            part.endedAt = bench.now();
        }
    }

    private int judge() {
        int twice = 0;
        int moved = 0;
        for (Map.Entry<String, List<Part>> e : parts.entrySet()) {
            List<Part> list = e.getValue();
            for (int i = 1; i < list.size(); i++) {
                Part before = list.get(i - 1);
                Part next = list.get(i);
                double end = before.endedAt == 0 ? bench.now() : before.endedAt;
                moved++;
                bench.log("%s at %s from %.3f to %.3f (%s), at %s from %.3f after event %s", e.getKey(), before.runner,
                        before.begunAt, end, before.end, next.runner, next.begunAt, next.resumedAfter);
                if (end - next.begunAt > 0.4) {
                    twice++;
                    bench.say("TWICE %s went on at %s while %s worked on it for another %.3f s (%s)", e.getKey(),
                            next.runner, before.runner, end - next.begunAt, before.end);
                }
            }
        }
        bench.say("requests %d, complete %d, extra answers %d, went on at another runner %d, of these at two at once %d",
                sent.get(), served.get(), extras.get(), moved, twice);
        if (served.get() < sent.get() / 2) {
            return 2;
        }
        return twice > 0 ? 1 : 0;
    }
}
