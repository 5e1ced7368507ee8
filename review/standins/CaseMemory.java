import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The deployment of the sheet rybnikov-humri at its sheet's traffic: six daemons, of which five are
 * lost. The last one gets all requests.
 */
final class CaseMemory {
    private static final int DAEMONS = 6;
    private static final int SECONDS_BEFORE = 15;
    private static final int SECONDS_AFTER = 55;

    /** Five tokens an event, so 20 ms a token; the letter aims at 41 ms, the sheet allows 300 ms an event. */
    private static final int EVENT_MS = 100;

    private static final int FIRST_EVENT_MS = 350;

    /** A line of the sheet. */
    private enum Kind {
        REVIEW("/lohu930/2f", "POST", 13.2, 12_000, 76, 0.44, 224, 15_000),
        KEEPER("/pufi791/2f", "POST", 44.8, 830, 58, 0.69, 191, 12_000),
        ALARM("/vaho204/2f", "POST", 25.7, 2400, 5, 0.8, 18, 3000),
        ORDER("/puxa403/2f", "POST", 20.9, 600, 0, 0, 0, 2500),
        STOCK("/seko118/2f", "GET", 8.4, 0, 0, 0, 0, 2500);

        final String path;
        final String method;
        final double perSecond;
        final int bodyBytes;
        final int events;
        final double spread;
        final int maxEvents;
        final int deadlineMs;

        Kind(String path, String method, double perSecond, int bodyBytes, int events, double spread, int maxEvents,
                int deadlineMs) {
            this.path = path;
            this.method = method;
            this.perSecond = perSecond;
            this.bodyBytes = bodyBytes;
            this.events = events;
            this.spread = spread;
            this.maxEvents = maxEvents;
            this.deadlineMs = deadlineMs;
        }

        boolean streams() {
            return events > 0;
        }

        /** Returns a number of events with the mean of the sheet. */
        int eventCount(Random random) {
            double mu = Math.log(events) - spread * spread / 2;
            return (int) Math.clamp(Math.round(Math.exp(mu + spread * random.nextGaussian())), 1, maxEvents);
        }
    }

    private record Call(String id, Daemon daemon, boolean kept, double sentAt, double endedAt, boolean begun, String result) {}

    private final Bench bench;
    private final Map<Daemon, ArrayDeque<Client>> idle = new ConcurrentHashMap<>();
    private final Map<Daemon, Integer> misses = new ConcurrentHashMap<>();
    private final Map<String, Integer> lengths = new ConcurrentHashMap<>();
    private final Map<String, Double> begun = new ConcurrentHashMap<>();
    private final List<Call> calls = new CopyOnWriteArrayList<>();
    private final AtomicInteger inProgress = new AtomicInteger();
    private volatile boolean over;

    private CaseMemory(Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Bench.play(args[0], b -> new CaseMemory(b).run());
    }

    private int run() throws IOException, InterruptedException {
        bench.store.put("op", "config", config());
        for (int i = 0; i < 4; i++) {
            bench.runner("wuno96b", 6, this::serviceWork);
        }
        for (int i = 0; i < 13; i++) {
            bench.runner("huvo11a", 64, this::streamWork);
        }
        for (int i = 0; i < DAEMONS; i++) {
            Daemon d = bench.daemon();
            misses.put(d, 0);
            idle.put(d, new ArrayDeque<>());
        }
        for (Daemon d : bench.daemons) {
            d.awaitReady(20_000);
        }
        Thread.sleep(4000);
        Thread.ofVirtual().start(this::checkReadiness);
        for (Kind k : Kind.values()) {
            Thread.ofVirtual().start(() -> traffic(k));
        }
        Thread.sleep(SECONDS_BEFORE * 1000);
        Daemon last = bench.daemons.get(0);
        if (bench.trouble) {
            for (Daemon d : bench.daemons) {
                if (d != last) {
                    bench.log("killed for good: %s", d.name);
                    d.kill();
                }
            }
        }
        double killedAt = bench.now();
        int ends = 0;
        for (int i = 0; i < SECONDS_AFTER * 10; i++) {
            Thread.sleep(100);
            if (i % 10 == 0) {
                bench.log("requests in progress at clients: %d", inProgress.get());
            }
            for (Daemon d : bench.daemons) {
                if (!d.process.isAlive() && (d == last || !bench.trouble)) {
                    ends++;
                    bench.say("the process of %s has ended by itself with status %d, %.1f s after the loss of the others, "
                            + "with %d requests in progress", d.name, d.process.exitValue(), bench.now() - killedAt,
                            inProgress.get());
                    Thread.sleep(500);
                    d.start();
                }
            }
        }
        over = true;
        Thread.sleep(1000);
        return judge(last, killedAt, ends);
    }

    private static String config() {
        String c = Bench.config();
        String alarm = Bench.route("r-alarm", "/vaho204/", "streaming", "huvo11a", 3000, 400, 2, true) + ",";
        return c.replace("\"routes\":[", "\"routes\":[" + alarm).replace("\"timeoutMs\":800", "\"timeoutMs\":1200");
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

    private Daemon pick(Random random) {
        List<Daemon> rotation = bench.daemons.stream().filter(d -> misses.get(d) < 2).toList();
        List<Daemon> use = rotation.isEmpty() ? bench.daemons : rotation;
        return use.get(random.nextInt(use.size()));
    }

    // ---- clients

    private void traffic(Kind kind) {
        Random random = new Random();
        int n = 0;
        while (!over) {
            String id = kind.name().toLowerCase() + "-" + n++;
            Thread.ofVirtual().start(() -> call(kind, id, random));
            sleep(Math.round(1000.0 / kind.perSecond * (0.5 + random.nextDouble())));
        }
    }

    private void call(Kind kind, String id, Random random) {
        Daemon d = pick(random);
        ArrayDeque<Client> pool = idle.get(d);
        Client kept;
        synchronized (pool) {
            pool.removeIf(x -> bench.now() - x.idleSince > 12 && x.quietClose());
            // Clients use a connection again or open a new one.
            kept = random.nextBoolean() ? pool.pollFirst() : null;
        }
        double sentAt = bench.now();
        boolean answerBegun = false;
        String result;
        Client c = kept;
        inProgress.incrementAndGet();
        try {
            if (c == null) {
                c = new Client(d);
            }
            c.send(request(kind, id, random));
            sentAt = bench.now();
            c.socket.setSoTimeout(kind.deadlineMs);
            Http.Message head = Http.readHead(c.in);
            if (head == null) {
                throw new IOException("closed");
            }
            answerBegun = true;
            boolean complete = readBody(c, head, sentAt + kind.deadlineMs / 1000.0);
            result = complete ? "status " + head.status() : "client left at its deadline";
            boolean stays = complete && !head.field("Connection").equalsIgnoreCase("close");
            if (stays) {
                c.idleSince = bench.now();
                synchronized (pool) {
                    pool.addFirst(c);
                }
                c = null;
            }
        } catch (java.net.SocketTimeoutException e) {
            result = "client left at its deadline";
        } catch (IOException | RuntimeException e) {
            result = "cut: " + e;
        }
        inProgress.decrementAndGet();
        if (c != null) {
            try {
                c.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
        if (result.startsWith("cut") && bench.now() > sentAt + kind.deadlineMs / 1000.0 - 0.3) {
            result = "the deadline has passed";
        }
        calls.add(new Call(id, d, kept != null, sentAt, bench.now(), answerBegun, result));
        bench.log("%s via %s sent %.3f%s, begun by a runner %s: %s", id, d.name, sentAt,
                kept == null ? "" : " on a kept connection", begun.containsKey(id), result);
    }

    private String request(Kind kind, String id, Random random) {
        String more = Client.key();
        if (kind.streams()) {
            lengths.put(id, kind.eventCount(random));
            more += "X-Godwithoist-Model: m\r\nX-Godwithoist-Token-Usage: 1460,300\r\nX-Godwithoist-Prompt-Prefix: a"
                    + random.nextInt(20) + ":512,b" + random.nextInt(140) + ":1000,c" + id + ":130\r\n";
        }
        if (kind.bodyBytes > 0) {
            more += "Content-Length: " + kind.bodyBytes + "\r\n";
        }
        return Client.head(kind.method, kind.path, id, kind.deadlineMs, more) + "\r\n" + "x".repeat(kind.bodyBytes);
    }

    /** Reads a body to its end; returns false if the client's deadline comes first. */
    private boolean readBody(Client c, Http.Message head, double until) throws IOException {
        if (!head.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            int length = Integer.parseInt(head.field("Content-Length"));
            if (c.in.readNBytes(length).length < length) {
                throw new IOException("body ended early");
            }
            return true;
        }
        int size = Integer.parseInt(Http.readLine(c.in, false).trim(), 16);
        while (size > 0) {
            if (c.in.readNBytes(size + 2).length < size + 2) {
                throw new IOException("stream ended early");
            }
            if (bench.now() > until) {
                return false;
            }
            size = Integer.parseInt(Http.readLine(c.in, false).trim(), 16);
        }
        Http.readLine(c.in, false);
        return true;
    }

    // ---- runners

    private void serviceWork(Runner.Run run) throws IOException, InterruptedException {
        begun.put(run.attempt, bench.now());
        if (run.work(25 + Math.abs(run.attempt.hashCode() % 36))) {
            run.answer(200, "b".repeat(800));
        }
    }

    private void streamWork(Runner.Run run) throws IOException, InterruptedException {
        begun.put(run.attempt, bench.now());
        String after = run.request.field("Last-Event-Id");
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        if (!run.work(FIRST_EVENT_MS)) {
            return;
        }
        run.startStream();
        for (int i = first; i <= lengths.getOrDefault(run.attempt, 1); i++) {
            if (i > first && !run.work(EVENT_MS)) {
                return;
            }
            run.event(i);
        }
        run.endStream();
    }

    // ---- judgement

    private int judge(Daemon last, double killedAt, int ends) {
        int served = 0;
        int lost = 0;
        int cutMidway = 0;
        for (Call c : calls) {
            served += c.result.equals("status 200") ? 1 : 0;
            boolean late = c.endedAt > killedAt + 3.5;
            if (!c.result.startsWith("cut") || c.daemon != last || !late || !begun.containsKey(c.id)) {
                continue;
            }
            if (c.begun) {
                cutMidway++;
            } else if (c.kept) {
                lost++;
                bench.log("LOST %s: sent %.3f on a kept connection, passed on %.3f, closed without an answer %.3f: %s",
                        c.id, c.sentAt, begun.get(c.id), c.endedAt, c.result);
            }
        }
        bench.say("requests %d, served %d, processes ended by themselves %d; of requests passed on by %s: closed without an "
                + "answer on kept connections %d (more than 3 break LOST), streams cut midway %d",
                calls.size(), served, ends, last.name, lost, cutMidway);
        if (served < calls.size() / 4) {
            return 2;
        }
        return ends > 0 && lost > 3 ? 1 : 0;
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(1, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
