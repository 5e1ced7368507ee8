package org.godwithoist.loadtool.load;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import java.util.Map;
import org.godwithoist.core.id.WorkspaceId;

/** Makes a booking at a plain service and repeats it with the same key at another daemon. */
public final class Booking {
    private static final String PATH = "/services/bookings/tickets";

    private final HttpCalls calls;
    private final FleetMap fleet;

    /** Makes bookings in the given fleet. */
    public Booking(HttpCalls calls, FleetMap fleet) {
        this.calls = calls;
        this.fleet = fleet;
    }

    /** Sends a booking to one of the daemons. */
    public HttpResponse<Buffer> book(int daemon, WorkspaceId workspace, String key, String item) {
        var to = fleet.daemons().get(daemon % fleet.daemons().size()).callers();
        Map<String, String> headers =
                Map.of(
                        "Authorization",
                        "Bearer " + fleet.keys().get(workspace),
                        "Idempotency-Key",
                        key,
                        "Content-Type",
                        "application/json");
        Buffer body = new JsonObject().put("item", item).toBuffer();
        return calls.send(HttpMethod.POST, to, PATH, headers, body);
    }

    /** Returns how often the services executed the call with a key. */
    public long executions(String key) {
        return fleet.services().stream()
                .flatMap(
                        s -> calls.get(s.endpoint(), "/log", Map.of()).getJsonArray("log").stream())
                .filter(e -> key.equals(((JsonObject) e).getString("key")))
                .count();
    }
}
