package org.godwithoist.bundle.json;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.bundle.Manifest;
import org.godwithoist.bundle.Model;
import org.godwithoist.bundle.PartKind;
import org.godwithoist.bundle.PartName;
import org.godwithoist.bundle.Pool;
import org.godwithoist.bundle.Revision;
import org.godwithoist.bundle.ServiceLevel;
import org.godwithoist.bundle.Workspace;
import org.godwithoist.core.id.FailureDomainId;

/**
 * Splits a bundle into parts with a canonical encoding. Equal bundles have equal bytes: entries are
 * sorted, every field is written even if it has its default value, and comments are dropped. The
 * content that operators sign therefore does not depend on the defaults of a later version.
 */
public final class BundleSplit {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private final Map<PartName, ObjectNode> parts = new TreeMap<>();

    private BundleSplit() {}

    /** Returns the revision with the encoded parts and the manifest of a bundle. */
    public static Revision split(Bundle bundle) {
        BundleSplit split = new BundleSplit();
        split.add(bundle);
        Map<ContentHash, byte[]> objects = new HashMap<>();
        TreeMap<PartName, ContentHash> names = new TreeMap<>();
        split.parts.forEach(
                (name, node) -> {
                    byte[] bytes = node.toString().getBytes(StandardCharsets.UTF_8);
                    ContentHash hash = ContentHash.of(bytes);
                    objects.put(hash, bytes);
                    names.put(name, hash);
                });
        return Revision.assemble(new Manifest(names), objects, hash -> Optional.empty());
    }

    private void add(Bundle bundle) {
        ObjectNode fleet = part(PartKind.FLEET.nameFor(""));
        ArrayNode domains = fleet.putArray("failureDomains");
        bundle.failureDomains().stream().map(FailureDomainId::value).forEach(domains::add);
        bundle.serviceLevels().values().stream()
                .sorted(Comparator.comparing(ServiceLevel::priority))
                .forEach(l -> fleet.withArray("serviceLevels").add(write(l)));
        bundle.workspaces().values().stream()
                .sorted(Comparator.comparing(w -> w.id().value()))
                .forEach(
                        w ->
                                part(PartKind.WORKSPACES.nameFor(w.id().value()))
                                        .withArray("workspaces")
                                        .add(write(w)));
        for (Pool p : bundle.pools().values()) {
            part(PartKind.POOL.nameFor(p.id().value())).putArray("pools").add(write(p));
        }
        for (Model m : bundle.models().values()) {
            part(PartKind.MODEL.nameFor(m.id().value())).putArray("models").add(write(m));
        }
    }

    private ObjectNode part(PartName name) {
        return parts.computeIfAbsent(name, n -> JSON.objectNode());
    }

    // ---- entries

    private static ObjectNode write(Workspace w) {
        ObjectNode o = JSON.objectNode().put("id", w.id().value());
        ArrayNode keys = o.putArray("keyHashes");
        w.keyHashes().forEach(keys::add);
        return o.put("share", w.share())
                .put("maxPriority", w.maxPriority().wireName())
                .put("maxConcurrent", w.maxConcurrent());
    }

    private static ObjectNode write(Model m) {
        ObjectNode o =
                JSON.objectNode()
                        .put("id", m.id().value())
                        .put("pool", m.pool().value())
                        .put("version", m.version());
        ArrayNode adapters = o.putArray("adapters");
        m.adapters().forEach(adapters::add);
        return o;
    }

    private static ObjectNode write(Pool p) {
        AdmissionLimits l = p.limits();
        return JSON.objectNode()
                .put("id", p.id().value())
                .put("kind", p.kind().name().toLowerCase(Locale.ROOT))
                .put("shards", p.shards())
                .put("skewFactor", l.skewFactor())
                .put("skewFloor", l.skewFloor())
                .put("coldStartLimit", l.coldStartLimit())
                .put("warmupAnswers", l.warmupAnswers())
                .put("coldFactor", l.coldFactor())
                .put("maxConcurrent", l.maxConcurrent())
                .put("reservedHolders", l.reservedHolders())
                .put("reservedSlots", l.reservedSlots())
                .put("fencing", p.fencing().wireName())
                .put("cacheTokens", p.cacheTokens());
    }

    private static ObjectNode write(ServiceLevel l) {
        return JSON.objectNode()
                .put("priority", l.priority().wireName())
                .put("firstTokenMs", l.firstToken().toMillis())
                .put("betweenTokensMs", l.betweenTokens().toMillis())
                .put("deadlineMs", l.deadline().toMillis())
                .put("objective", l.objective());
    }
}
