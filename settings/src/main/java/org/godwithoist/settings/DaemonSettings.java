package org.godwithoist.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.json.Findings;
import org.godwithoist.core.json.FindingsException;
import org.godwithoist.core.json.JsonDocument;
import org.godwithoist.core.json.ObjectReader;

/**
 * Settings of one daemon. Immutable.
 *
 * @param host id of this host
 * @param failureDomain failure domain of this host
 * @param callers listen address for callers
 * @param operators listen address for operators, metrics and health checks
 * @param peers listen address for other daemons
 * @param platform address of the platform's services
 * @param peerKeys keys of messages between daemons; the first one signs, all verify
 * @param seeds daemons to contact first; needed only for a start while the platform is unavailable
 * @param operatorKeys operators; rolling a bundle needs two, because author and signer must differ
 */
public record DaemonSettings(
        HostId host,
        FailureDomainId failureDomain,
        Endpoint callers,
        Endpoint operators,
        Endpoint peers,
        Endpoint platform,
        List<PeerKey> peerKeys,
        List<Seed> seeds,
        List<OperatorKey> operatorKeys) {
    /** Stands for a missing or invalid id, so that parsing continues and reports all errors. */
    private static final String PLACEHOLDER_ID = "none";

    private static final Pattern OPERATOR_NAME = Pattern.compile("[A-Za-z0-9._@-]{1,100}");
    private static final Pattern TOKEN_HASH = Pattern.compile("[0-9a-f]{64}");

    /** Stands for a missing or invalid endpoint, so that parsing continues. */
    private static final Endpoint PLACEHOLDER_ENDPOINT = new Endpoint("0.0.0.0", 0);

    /** Makes the lists immutable. */
    public DaemonSettings {
        peerKeys = List.copyOf(peerKeys);
        seeds = List.copyOf(seeds);
        operatorKeys = List.copyOf(operatorKeys);
    }

    /**
     * Parses settings from JSON with comments.
     *
     * @param file name used in findings
     * @param text content of the file
     * @throws FindingsException with all validation errors and their locations
     */
    public static DaemonSettings parse(String file, String text) {
        Findings findings = new Findings();
        ObjectReader root = ObjectReader.root(JsonDocument.parse(file, text), findings);
        HostId host = root.required("host", HostId::new).orElse(new HostId(PLACEHOLDER_ID));
        FailureDomainId domain =
                root.required("failureDomain", FailureDomainId::new)
                        .orElse(new FailureDomainId(PLACEHOLDER_ID));
        ObjectReader listen = root.object("listen");
        Endpoint callers = readEndpoint(listen, "callers");
        Endpoint operators = readEndpoint(listen, "operators");
        Endpoint peers = readEndpoint(listen, "peers");
        listen.reportUnknownFields();
        Endpoint platform = readEndpoint(root, "platform");
        List<PeerKey> peerKeys = readPeerKeys(root);
        List<Seed> seeds = readSeeds(root);
        List<OperatorKey> operatorKeys = readOperatorKeys(root);
        root.reportUnknownFields();
        findings.throwIfAny();
        return new DaemonSettings(
                host, domain, callers, operators, peers, platform, peerKeys, seeds, operatorKeys);
    }

    private static Endpoint readEndpoint(ObjectReader r, String name) {
        return r.required(name, Endpoint::parse).orElse(PLACEHOLDER_ENDPOINT);
    }

    private static List<PeerKey> readPeerKeys(ObjectReader root) {
        List<PeerKey> keys = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (ObjectReader r : root.objects("peerKeys")) {
            String id = r.string("id");
            String secret = r.string("secret");
            r.reportUnknownFields();
            if (!ids.add(id)) {
                r.addFinding("id", "must be unique, but an earlier entry has id " + id);
            }
            try {
                keys.add(new PeerKey(id, secret));
            } catch (IllegalArgumentException e) {
                r.addFinding("secret", e.getMessage());
            }
        }
        if (keys.isEmpty()) {
            root.addFinding("peerKeys", "must have at least one key");
        }
        return keys;
    }

    private static List<Seed> readSeeds(ObjectReader root) {
        List<Seed> seeds = new ArrayList<>();
        Set<HostId> hosts = new HashSet<>();
        for (ObjectReader r : root.objects("seeds")) {
            var host = r.required("host", HostId::new);
            var domain = r.required("failureDomain", FailureDomainId::new);
            var peer = r.required("peer", Endpoint::parse);
            r.reportUnknownFields();
            if (host.isPresent() && !hosts.add(host.get())) {
                r.addFinding("host", "must be unique, but an earlier entry has host " + host.get());
            }
            if (host.isPresent() && domain.isPresent() && peer.isPresent()) {
                seeds.add(new Seed(host.get(), domain.get(), peer.get()));
            }
        }
        return seeds;
    }

    private static List<OperatorKey> readOperatorKeys(ObjectReader root) {
        List<OperatorKey> keys = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (ObjectReader r : root.objects("operators")) {
            String name = r.string("name");
            String hash = r.string("tokenHash");
            String publicKey = r.string("publicKey");
            r.reportUnknownFields();
            if (!names.add(name)) {
                r.addFinding("name", "must be unique, but an earlier entry has name " + name);
            }
            if (!OPERATOR_NAME.matcher(name).matches()) {
                r.addFinding("name", "must be 1 to 100 letters, digits, '.', '_', '-' or '@'");
            }
            if (!TOKEN_HASH.matcher(hash).matches()) {
                r.addFinding("tokenHash", "must be a lower-case hexadecimal SHA-256 hash");
            }
            OperatorKey key = new OperatorKey(name, hash, publicKey);
            try {
                key.verificationKey();
            } catch (IllegalArgumentException e) {
                r.addFinding("publicKey", e.getMessage());
            }
            keys.add(key);
        }
        return keys;
    }
}
