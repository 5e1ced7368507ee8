import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A zone with three daemons. Two of them get SIGTERM, one second apart, and start again: a rolling
 * restart. Clients book and read tickets over new connections, and read streams.
 */
final class CaseStop {
    private static final int GRACE_MS = 8000;
    private static final int ROUNDS = 2;

    /** One request as its client saw it. Times are in seconds of the bench. */
    private static final class Call {
        String id;
        String kind;
        Daemon daemon;
        double sentAt;
        double endedAt;
        String result;
        double deadlineMs;
    }

    /** A stop of a daemon. */
    private record Stop(Daemon daemon, double at) {}

    private final Bench bench;
    private final List<Call> calls = new CopyOnWriteArrayList<>();
    private final List<Stop> stops = new CopyOnWriteArrayList<>();
    private final Map<String, Double> begun = new ConcurrentHashMap<>();
    private final Map<String, Double> cut = new ConcurrentHashMap<>();
    private final Map<Daemon, Integer> misses = new ConcurrentHashMap<>();
    private volatile boolean over;

    private CaseStop(Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Bench.play(args[0], b -> new CaseStop(b).run());
    }

    private int run() throws IOException, InterruptedException {
        bench.store.put("op", "config", Bench.config());
        for (int i = 0; i < 3; i++) {
            bench.runner("wuno96b", 6, this::serviceWork);
        }
        for (int i = 0; i < 4; i++) {
            bench.runner("huvo11a", 64, this::streamWork);
        }
        for (int i = 0; i < 3; i++) {
            bench.daemon();
        }
        for (Daemon d : bench.daemons) {
            d.awaitReady(20_000);
            misses.put(d, 0);
        }
        Thread.sleep(4000);
        Thread.ofVirtual().start(this::checkReadiness);
        Thread.ofVirtual().start(() -> traffic("book", 80));
        Thread.ofVirtual().start(() -> traffic("stat", 20));
        Thread.ofVirtual().start(() -> traffic("stream", 11));
        Thread.sleep(5000);
        for (int round = 0; round < ROUNDS; round++) {
            List<Thread> restarts = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                Daemon d = bench.daemons.get((round + i) % 3);
                if (bench.trouble) {
                    restarts.add(Thread.ofVirtual().start(() -> restart(d)));
                }
                Thread.sleep(1000);
            }
            Thread.sleep(15_000);
            for (Thread t : restarts) {
                t.join();
            }
        }
        over = true;
        Thread.sleep(3000);
        return judge();
    }

    /** SIGTERM, SIGKILL after the grace period, and a new start a short time after the end. */
    private void restart(Daemon d) {
        try {
            stops.add(new Stop(d, bench.now()));
            bench.log("SIGTERM %s", d.name);
            d.terminate();
            if (!d.process.waitFor(GRACE_MS, java.util.concurrent.TimeUnit.MILLISECONDS)) {
                bench.log("SIGKILL %s", d.name);
                d.kill();
            }
            bench.log("ended %s", d.name);
            Thread.sleep(500);
            d.start();
            bench.log("started %s", d.name);
            d.awaitReady(20_000);
            bench.log("ready %s", d.name);
        } catch (IOException | InterruptedException e) {
            bench.log("restart of %s failed: %s", d.name, e);
        }
    }

    // ---- the platform's forwarding of new connections

    private void checkReadiness() {
        while (!over) {
            for (Daemon d : bench.daemons) {
                Thread.ofVirtual().start(() -> misses.merge(d, d.ready() ? 0 : 1, (a, b) -> b == 0 ? 0 : a + b));
            }
            sleep(1000);
        }
    }

    /** Of a zone's daemons those in rotation, and all of them if these are fewer than half. */
    private List<Daemon> inUse() {
        List<Daemon> rotation = bench.daemons.stream().filter(d -> misses.get(d) < 2).toList();
        return 2 * rotation.size() < bench.daemons.size() ? bench.daemons : rotation;
    }

    // ---- clients

    private void traffic(String kind, int perSecond) {
        Random random = new Random();
        int n = 0;
        while (!over) {
            String id = kind + "-" + n++;
            Thread.ofVirtual().start(() -> call(kind, id, random));
            sleep(Math.round(1000.0 / perSecond * (0.5 + random.nextDouble())));
        }
    }

    private void call(String kind, String id, Random random) {
        Call c = new Call();
        c.id = id;
        c.kind = kind;
        List<Daemon> use = inUse();
        c.daemon = use.get(random.nextInt(use.size()));
        c.deadlineMs = kind.equals("stream") ? 12_000 : 1500;
        try (Client client = new Client(c.daemon)) {
            String path = kind.equals("book") ? "/puxa403/2f" : kind.equals("stat") ? "/seko118/2f" : "/pufi791/2f";
            String method = kind.equals("stat") ? "GET" : "POST";
            String prefix = kind.equals("stream") ? "X-Godwithoist-Model: m\r\nX-Godwithoist-Token-Usage: 829,300\r\n"
                    + "X-Godwithoist-Prompt-Prefix: a" + id.hashCode() % 20 + ":119,b" + id.hashCode() % 93 + ":580,c"
                    + id + ":130\r\n" : "";
            String body = kind.equals("stat") ? "" : "x".repeat(600);
            String length = kind.equals("stat") ? "" : "Content-Length: 600\r\n";
            client.send(Client.head(method, path, id, (int) c.deadlineMs, Client.key() + prefix + length) + "\r\n" + body);
            c.sentAt = bench.now();
            Http.Message m = client.receive((int) c.deadlineMs + 500);
            c.result = m == null ? "closed without an answer" : "status " + m.status();
        } catch (IOException e) {
            c.result = c.sentAt == 0 ? "not sent: " + e.getMessage() : "cut: " + e;
        }
        c.endedAt = bench.now();
        calls.add(c);
        bench.log("%s via %s sent %.3f, begun by a runner %s: %s", id, c.daemon.name, c.sentAt,
                begun.containsKey(id), c.result);
    }

    // ---- runners

    private void serviceWork(Runner.Run run) throws IOException, InterruptedException {
        begun.put(run.attempt, bench.now());
        // The sheet's service takes 21 ms at the mean and 110 ms at the most.
        long ms = 15 + Math.abs(run.attempt.hashCode() % 70);
        if (!run.work(ms)) {
            cut.put(run.attempt, bench.now());
            return;
        }
        run.answer(200, "b".repeat(800));
    }

    private void streamWork(Runner.Run run) throws IOException, InterruptedException {
        begun.put(run.attempt, bench.now());
        run.startStream();
        // As on the sheet: 49 events at the mean, 159 at the most; pauses of 100 ms, where 300 are on time.
        double random = new Random(run.attempt.hashCode() * 31L).nextGaussian();
        long events = Math.clamp(Math.round(Math.exp(Math.log(49) - 0.24 + 0.69 * random)), 1, 159);
        for (int i = 1; i <= events; i++) {
            if (!run.work(100)) {
                cut.put(run.attempt, bench.now());
                return;
            }
            run.event(i);
        }
        run.endStream();
    }

    // ---- judgement

    private int judge() {
        int lost = 0;
        int served = 0;
        int excused = 0;
        for (Call c : calls) {
            if ("status 200".equals(c.result)) {
                served++;
            }
            if (c.result.startsWith("status") || c.sentAt == 0) {
                continue;
            }
            Stop stop = stopOf(c);
            boolean ran = begun.containsKey(c.id);
            boolean late = c.endedAt - c.sentAt > 0.2;
            boolean patience = c.endedAt - c.sentAt >= (c.kind.equals("stream") ? 11.9 : 0.79);
            if (stop == null) {
                if (!patience) {
                    bench.say("%s ended without an answer outside of a stop: %s", c.id, c.result);
                }
                continue;
            }
            double sixth = stop.at + GRACE_MS / 1000.0 * 5 / 6;
            boolean longWork = cut.getOrDefault(c.id, 0.0) >= sixth && c.sentAt <= stop.at + 3;
            if (patience || longWork || !(ran || late)) {
                excused++;
                continue;
            }
            lost++;
            bench.say("LOST %s: sent %.3f s after the SIGTERM of %s, begun by a runner: %s, ended %.3f s after it, %s",
                    c.id, c.sentAt - stop.at, c.daemon.name, ran, c.endedAt - stop.at, c.result);
        }
        bench.say("requests %d, served %d, stops %d, lost %d, ended without an answer but excused %d",
                calls.size(), served, stops.size(), lost, excused);
        if (served < calls.size() / 2) {
            return 2;
        }
        return lost > 0 ? 1 : 0;
    }

    /** Returns the stop of the call's daemon that its end falls into. */
    private Stop stopOf(Call c) {
        for (Stop s : stops) {
            if (s.daemon == c.daemon && c.endedAt >= s.at && c.endedAt <= s.at + GRACE_MS / 1000.0 + 1) {
                return s;
            }
        }
        return null;
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(1, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
