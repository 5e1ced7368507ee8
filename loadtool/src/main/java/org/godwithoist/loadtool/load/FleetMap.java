package org.godwithoist.loadtool.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.json.JsonDocument;

/**
 * Addresses and credentials of a running fleet, as {@code DemoSetup} wrote them to fleet.json.
 *
 * @param daemons all daemons
 * @param engines engine stand-ins on the host list
 * @param spares engine stand-ins that are not on the host list
 * @param services service stand-ins
 * @param platform endpoint of the platform stand-in
 * @param keys API key of each workspace
 * @param operatorToken token of an operator
 */
public record FleetMap(
        List<DaemonAddress> daemons,
        List<TargetAddress> engines,
        List<TargetAddress> spares,
        List<TargetAddress> services,
        Endpoint platform,
        Map<WorkspaceId, String> keys,
        String operatorToken) {
    /**
     * Address of a daemon.
     *
     * @param host host of the daemon
     * @param callerEndpoint endpoint for callers
     * @param operatorEndpoint endpoint for operators
     */
    public record DaemonAddress(HostId host, Endpoint callerEndpoint, Endpoint operatorEndpoint) {}

    /**
     * Address of a target.
     *
     * @param id id of the target
     * @param failureDomain failure domain of the target
     * @param endpoint endpoint for requests
     */
    public record TargetAddress(TargetId id, FailureDomainId failureDomain, Endpoint endpoint) {}

    /**
     * Parses a fleet map.
     *
     * @param file name of the file, for error messages
     * @param text JSON text
     */
    public static FleetMap parse(String file, String text) {
        JsonNode root = JsonDocument.parse(file, text).root();
        List<DaemonAddress> daemons = new ArrayList<>();
        for (JsonNode d : root.get("daemons")) {
            daemons.add(
                    new DaemonAddress(
                            new HostId(d.get("host").asText()),
                            Endpoint.parse(d.get("callers").asText()),
                            Endpoint.parse(d.get("operators").asText())));
        }
        Map<WorkspaceId, String> keys = new TreeMap<>();
        root.get("keys")
                .properties()
                .forEach(e -> keys.put(new WorkspaceId(e.getKey()), e.getValue().asText()));
        return new FleetMap(
                daemons,
                targets(root.get("engines")),
                targets(root.get("spares")),
                targets(root.get("services")),
                Endpoint.parse(root.get("platform").asText()),
                keys,
                root.get("operatorToken").asText());
    }

    private static List<TargetAddress> targets(JsonNode list) {
        List<TargetAddress> targets = new ArrayList<>();
        for (JsonNode t : list) {
            targets.add(
                    new TargetAddress(
                            new TargetId(t.get("id").asText()),
                            new FailureDomainId(t.get("failureDomain").asText()),
                            Endpoint.parse(t.get("endpoint").asText())));
        }
        return targets;
    }
}
