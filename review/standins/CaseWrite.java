import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Runners of a service go dark for good, one at a time, while clients post documents that the limits
 * allow. A runner that is dark reads and sends nothing, and its connections stay open.
 */
final class CaseWrite {
    private static final int REQUESTS = 200;
    private static final int BODY_BYTES = 4_000_000;
    private static final int ROUTE_TIMEOUT_MS = 800;
    private static final int CLIENT_MS = 1500;

    /** Three heartbeat intervals of 1,200 ms, after which the store removes an entry. */
    private static final int EXPIRY_MS = 3600;

    private static final int BETWEEN_MS = 3000;

    private record Call(String id, double sentAt, double answeredAt, String result) {}

    public static void main(String[] args) {
        Bench.play(args[0], CaseWrite::run);
    }

    private static int run(Bench bench) throws IOException, InterruptedException {
        bench.store.put("op", "config", Bench.config());
        for (int i = 0; i < 6; i++) {
            addRunner(bench);
        }
        Daemon d = bench.daemon();
        d.awaitReady(20_000);
        Thread.sleep(2000);
        if (bench.trouble) {
            Thread.ofVirtual().start(() -> loseRunners(bench));
        }
        List<Call> calls = new CopyOnWriteArrayList<>();
        List<Thread> threads = new java.util.ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "post-" + i;
            threads.add(Thread.ofVirtual().start(() -> calls.add(call(bench, d, id))));
            Thread.sleep(200);
        }
        for (Thread t : threads) {
            t.join();
        }
        int late = 0;
        int hanging = 0;
        for (Call c : calls) {
            double ms = (c.answeredAt - c.sentAt) * 1000;
            bench.log("%s sent %.3f %s after %.0f ms", c.id, c.sentAt, c.result, ms);
            if (ms > ROUTE_TIMEOUT_MS) {
                late++;
            }
            if (ms > ROUTE_TIMEOUT_MS + 500) {
                hanging++;
            }
        }
        bench.say("requests %d, unanswered at the route's timeoutMs %d, of these without an answer half a second later %d",
                calls.size(), late, hanging);
        return hanging * 2 > late ? 1 : 0;
    }

    /** Loses one runner after the other for good; another one comes when the entry has expired. */
    private static void loseRunners(Bench bench) {
        try {
            for (int i = 0; i < 6; i++) {
                Runner lost = bench.runners.get(i);
                lost.still = true;
                bench.log("runner %s is dark", lost.id);
                Thread.sleep(EXPIRY_MS);
                bench.store.remove("servers", lost.id);
                Runner next = addRunner(bench);
                bench.log("the entry of %s has expired; %s comes", lost.id, next.id);
                Thread.sleep(BETWEEN_MS);
            }
        } catch (InterruptedException | IOException e) {
            bench.log("no more runners are lost: %s", e);
        }
    }

    private static Runner addRunner(Bench bench) throws IOException {
        return bench.runner("wuno96b", 6, r -> {
            bench.log("%s is run by %s", r.attempt, r.runner().id);
            if (r.work(20)) {
                r.answer(200, "b".repeat(800));
            }
        });
    }

    private static Call call(Bench bench, Daemon d, String id) {
        double sentAt = 0;
        String result;
        try (Client c = new Client(d)) {
            c.send(Client.head("POST", "/puxa403/2f", id, CLIENT_MS, Client.key() + "Content-Length: " + BODY_BYTES
                    + "\r\n") + "\r\n" + "x".repeat(BODY_BYTES));
            sentAt = bench.now();
            Http.Message m = c.receive(CLIENT_MS);
            result = m == null ? "closed without an answer" : "status " + m.status();
        } catch (IOException e) {
            result = "no answer: " + e;
        }
        return new Call(id, sentAt, bench.now(), result);
    }
}
