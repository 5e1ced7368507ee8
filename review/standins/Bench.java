import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/** What the cases share: the record, the temporary folder, the store, runners and daemons. */
final class Bench implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    /** A case; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    interface Case {
        int run(Bench bench) throws Exception;
    }

    /** Whether the disruption comes. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Path folder = Files.createTempDirectory("review");
    final String net;
    final Store store;
    final List<Runner> runners = new ArrayList<>();
    final List<Daemon> daemons = new ArrayList<>();
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private int nextHost = 10;

    Bench(Path caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        Random random = new Random();
        // Each daemon has an address of its own, in a part of the loopback range.
        net = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
        store = new Store(net + 1);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endDaemons));
    }

    /** Runs a case and ends the process with its result. */
    static void play(String caseFolder, Case theCase) {
        int code = 2;
        try (Bench bench = new Bench(Path.of(caseFolder))) {
            code = theCase.run(bench);
        } catch (Exception e) {
            System.out.println("could not run: " + e);
        }
        System.exit(code);
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void log(String format, Object... args) {
        record.println("%8.3f ".formatted(now()) + format.formatted(args));
    }

    void say(String format, Object... args) {
        log(format, args);
        System.out.println(format.formatted(args));
    }

    Runner runner(String service, int slots, Runner.Work work) throws IOException {
        Runner r = new Runner(net + 2, "i-" + service + "-" + runners.size(), service, "be-north-a", slots, work);
        runners.add(r);
        store.put("servers", r.id, r.entry("ready"));
        return r;
    }

    Daemon daemon() throws IOException {
        int host = nextHost++;
        Daemon d = new Daemon("edge-be-north-a-" + host, net + host, "be-north-a", store.address(), folder);
        daemons.add(d);
        d.start();
        return d;
    }

    static String route(String name, String prefix, String kind, String service, int timeoutMs, int targetMs,
            int attempts, boolean resumable) {
        boolean streaming = kind.equals("streaming");
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix + "\",\"routeKind\":\""
                + kind + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + targetMs
                + ",\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":" + attempts
                + ",\"public\":false,\"stickySessions\":" + streaming + ",\"resumable\":" + resumable
                + (streaming ? ",\"gapTargetMs\":300}" : "}");
    }

    /** The routes of the site bench-ops, with its time-outs, and a configuration as the pages show it. */
    static String config(int version, String tenants) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-est", "/lohu930/", "streaming", "huvo11a", 15000, 1000, 2, true) + ","
                + route("r-rep", "/pufi791/", "streaming", "huvo11a", 12000, 400, 1, false) + ","
                + route("r-book", "/puxa403/", "non_idempotent", "wuno96b", 800, 100, 1, false) + ","
                + route("r-stat", "/seko118/", "idempotent", "wuno96b", 800, 100, 2, false)
                + "],\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"connectionLimit\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":13.0,"
                + "\"engine\":{\"slots\":64,\"kvCapacity\":435790}},{\"name\":\"wuno96b\",\"healthPath\":\"/health\","
                + "\"connectionLimit\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},\"tenants\":" + tenants + "}";
    }

    static String config() {
        return config(7, "[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}]");
    }

    private void endDaemons() {
        for (Daemon d : daemons) {
            try {
                d.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endDaemons();
        for (Runner r : runners) {
            r.close();
        }
        store.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            } catch (IOException e) {
                System.out.println("the temporary folder is left: " + e);
            }
        } else {
            System.out.println("logs in " + folder);
        }
        record.close();
    }
}
