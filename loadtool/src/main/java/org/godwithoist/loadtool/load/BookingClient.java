package org.godwithoist.loadtool.load;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import java.util.Map;
import org.godwithoist.core.id.WorkspaceId;

/** Sends bookings to a plain service through any daemon, with an idempotency key. */
public final class BookingClient {
    private static final String PATH = "/services/bookings/tickets";

    private final BlockingHttpClient http;
    private final FleetMap fleet;

    /** Creates a client that uses the API keys of the fleet map. */
    public BookingClient(BlockingHttpClient http, FleetMap fleet) {
        this.http = http;
        this.fleet = fleet;
    }

    /**
     * Sends a booking.
     *
     * @param daemon index of the daemon, modulo the number of daemons
     */
    public HttpResponse<Buffer> book(int daemon, WorkspaceId workspace, String key, String item) {
        var to = fleet.daemons().get(daemon % fleet.daemons().size()).callerEndpoint();
        Map<String, String> headers =
                Map.of(
                        "Authorization",
                        "Bearer " + fleet.keys().get(workspace),
                        "Idempotency-Key",
                        key,
                        "Content-Type",
                        "application/json");
        Buffer body = new JsonObject().put("item", item).toBuffer();
        return http.send(HttpMethod.POST, to, PATH, headers, body);
    }

    /** Returns how many times the services executed the request with an idempotency key. */
    public long countExecutions(String key) {
        return fleet.services().stream()
                .flatMap(
                        s ->
                                http
                                        .getJson(s.endpoint(), "/log", Map.of())
                                        .getJsonArray("log")
                                        .stream())
                .filter(e -> key.equals(((JsonObject) e).getString("key")))
                .count();
    }
}
