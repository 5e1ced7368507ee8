import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the platform's row store; rows have an empty part. */
final class Store {
    private record Row(String table, String key, String value, long version, boolean deleted) {
        String json() {
            return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"value\":\""
                    + value + "\",\"rowVersion\":" + version
                    + (deleted ? ",\"deleted\":true}" : "}");
        }
    }

    private static final Pattern ENTRY =
            Pattern.compile(
                    "\\{\"table\":\"([^\"]*)\",\"part\":\"\",\"key\":\"([^\"]*)\"(?:,\"value\":\"([^\"]*)\")?\\}");

    private final HttpServer server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 50);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    void put(String table, String key, String json) {
        change(table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), false);
    }

    void remove(String table, String key) {
        change(table, key, "", true);
    }

    private synchronized void change(String table, String key, String value, boolean deleted) {
        version++;
        Row row = new Row(table, key, value, version, deleted);
        TreeMap<String, Row> rows = tables.computeIfAbsent(table, t -> new TreeMap<>());
        if (deleted) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        history.add(row);
        notifyAll();
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : (raw == null ? "" : raw).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        String answer =
                switch (exchange.getRequestURI().getPath()) {
                    case "/rows-get" -> rowsGet(query);
                    case "/rows-feed" -> rowsFeed(query);
                    case "/rows-tx" -> rowsTx(new String(body, StandardCharsets.UTF_8));
                    default -> "{}";
                };
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized String rowsGet(Map<String, String> query) {
        TreeMap<String, Row> rows = tables.getOrDefault(query.get("table"), new TreeMap<>());
        List<Row> found = new ArrayList<>(rows.tailMap(query.getOrDefault("from", "")).values());
        return page(found, ",\"hasMore\":false");
    }

    private synchronized String rowsFeed(Map<String, String> query) {
        long after = Long.parseLong(query.get("afterRevision"));
        long end = System.currentTimeMillis() + Long.parseLong(query.get("waitMs"));
        List<Row> found = changes(query.get("table"), after);
        while (found.isEmpty() && System.currentTimeMillis() < end) {
            try {
                wait(Math.max(1, end - System.currentTimeMillis()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
            found = changes(query.get("table"), after);
        }
        return page(found, "");
    }

    private List<Row> changes(String table, long after) {
        Map<String, Row> last = new TreeMap<>();
        for (Row r : history) {
            if (r.table().equals(table) && r.version() > after) {
                last.put(r.key(), r);
            }
        }
        return last.values().stream().sorted((a, b) -> Long.compare(a.version(), b.version())).toList();
    }

    private synchronized String rowsTx(String body) {
        int removed = body.indexOf("\"remove\"");
        Matcher m = ENTRY.matcher(body);
        while (m.find()) {
            change(m.group(1), m.group(2), m.group(3) == null ? "" : m.group(3), m.start() > removed);
        }
        return "{\"rowVersion\":" + version + ",\"nowMs\":0}";
    }

    private String page(List<Row> rows, String more) {
        String list = String.join(",", rows.stream().map(Row::json).toList());
        return "{\"rows\":[" + list + "]" + more + ",\"rowVersion\":" + version + ",\"nowMs\":0}";
    }

    void close() {
        server.stop(0);
    }
}
