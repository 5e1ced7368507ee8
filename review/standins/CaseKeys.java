import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The keys of the only tenant are taken away, one after the other. */
final class CaseKeys {
    private static final String SECOND_KEY = "anfqasnmgkcuyj8pjbvk";
    private static final int CONFIG_APPLY_MS = 2000;

    private final Bench bench;
    private final Map<String, String> ran = new ConcurrentHashMap<>();
    private int n;

    private CaseKeys(Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Bench.play(args[0], b -> new CaseKeys(b).run());
    }

    private static String tenants(String keys) {
        return "[{\"name\":\"hule930\",\"apiKeys\":[" + keys + "],\"priority\":1}]";
    }

    private int run() throws IOException, InterruptedException {
        String both = "\"" + Bench.KEY + "\",\"" + SECOND_KEY + "\"";
        bench.store.put("op", "config", Bench.config(7, tenants(both)));
        for (int i = 0; i < 3; i++) {
            bench.runner("wuno96b", 6, r -> {
                ran.put(r.attempt, "tenant '" + r.request.field("X-Godwithoist-Tenant") + "'");
                if (r.work(20)) {
                    r.answer(200, "b".repeat(800));
                }
            });
        }
        Daemon d = bench.daemon();
        d.awaitReady(20_000);
        Thread.sleep(1000);
        String held = ask(d, "a held key", Client.key());
        String never = ask(d, "a key that no configuration ever held", "X-Api-Key: stranger\r\n");
        String none = ask(d, "no key", "");
        if (!ran.containsKey(held) || ran.containsKey(never) || ran.containsKey(none)) {
            return 2;
        }
        if (bench.trouble) {
            bench.store.put("op", "config", Bench.config(9, tenants("\"" + SECOND_KEY + "\"")));
            bench.log("version 9 acknowledged: one key of the tenant is left");
            Thread.sleep(1500);
            bench.store.put("op", "config", Bench.config(12, tenants("")));
            bench.log("version 12 acknowledged: the tenant has no key");
        }
        Thread.sleep(CONFIG_APPLY_MS + 1000);
        int broken = 0;
        for (int i = 0; i < 20; i++) {
            broken += ran.containsKey(ask(d, "a key that no configuration ever held", "X-Api-Key: stranger\r\n")) ? 1 : 0;
            broken += ran.containsKey(ask(d, "no key", "")) ? 1 : 0;
            String kept = ask(d, "the key taken away first", Client.key());
            broken += bench.trouble && ran.containsKey(kept) ? 1 : 0;
            Thread.sleep(200);
        }
        bench.say("requests that ran although no configuration in force allows them: %d of 60", broken);
        return broken > 0 ? 1 : 0;
    }

    private String ask(Daemon d, String what, String key) throws IOException {
        String id = "book-" + n++;
        try (Client c = new Client(d)) {
            c.send(Client.head("POST", "/puxa403/2f", id, 1500, key + "Content-Length: 600\r\n") + "\r\n" + "x".repeat(600));
            Http.Message m = c.receive(2000);
            bench.log("%s with %s: status %d%s", id, what, m.status(),
                    ran.containsKey(id) ? ", ran with " + ran.get(id) : ", not run");
        }
        return id;
    }
}
