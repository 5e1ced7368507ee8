package org.godwithoist.loadtool.load;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;

/** Client of the operator endpoints of the daemons. */
public final class OperatorClient {
    private static final int OK = 200;

    private final BlockingHttpClient http;
    private final FleetMap fleet;

    /** Creates a client that authenticates with the operator token of the fleet map. */
    public OperatorClient(BlockingHttpClient http, FleetMap fleet) {
        this.http = http;
        this.fleet = fleet;
    }

    /**
     * Orders a failure domain out of service or back in service.
     *
     * @throws IllegalStateException if the daemon rejects the order
     */
    public void orderDomain(FailureDomainId domain, boolean out) {
        Buffer body =
                new JsonObject()
                        .put("subject", "domain:" + domain)
                        .put("state", out ? "out" : "in")
                        .toBuffer();
        var response = http.send(HttpMethod.POST, firstDaemon(), "/v1/orders", headers(), body);
        if (response.statusCode() != OK) {
            throw new IllegalStateException(
                    "order for a failure domain failed; expected status 200, got: "
                            + response.statusCode()
                            + " "
                            + response.bodyAsString());
        }
    }

    /** Reads a JSON document from the operator endpoint of a daemon. */
    public JsonObject read(Endpoint daemon, String path) {
        return http.getJson(daemon, path, headers());
    }

    /** Reads a JSON document from the operator endpoint of the first daemon. */
    public JsonObject read(String path) {
        return read(firstDaemon(), path);
    }

    private Endpoint firstDaemon() {
        return fleet.daemons().get(0).operatorEndpoint();
    }

    private Map<String, String> headers() {
        return Map.of("Authorization", "Bearer " + fleet.operatorToken());
    }
}
