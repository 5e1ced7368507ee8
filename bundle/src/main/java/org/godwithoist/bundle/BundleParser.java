package org.godwithoist.bundle;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.json.Findings;
import org.godwithoist.core.json.FindingsException;
import org.godwithoist.core.json.JsonDocument;
import org.godwithoist.core.json.ObjectReader;

/** Parses and validates bundles in JSON with comments; collects all validation errors. */
public final class BundleParser {
    /** Only version of the bundle format that this parser accepts. */
    public static final int FORMAT = 1;

    private static final int MAX_SHARE = 1_000_000;
    private static final int MAX_REQUESTS = 1_000_000;
    private static final int MAX_SHARDS = 4_096;
    private static final long MAX_TIME_MS = 3_600_000;

    private final Findings findings = new Findings();

    private BundleParser() {}

    /**
     * Parses a bundle.
     *
     * @param file file name used in findings
     * @param text JSON with comments
     * @throws FindingsException with all validation errors and their locations
     */
    public static Bundle parse(String file, String text) {
        return new BundleParser().read(JsonDocument.parse(file, text));
    }

    private Bundle read(JsonDocument document) {
        ObjectReader root = ObjectReader.root(document, findings);
        int format = root.integer("format", 0, Integer.MAX_VALUE, 0);
        if (format != FORMAT) {
            root.addFinding("format", "must be " + FORMAT + ", the only supported version");
        }
        List<FailureDomainId> domains = root.strings("failureDomains", FailureDomainId::new);
        List<Pool> pools = readPools(root);
        Set<PoolId> poolIds = new HashSet<>();
        pools.forEach(p -> poolIds.add(p.id()));
        List<Model> models = readModels(root, Optional.of(poolIds));
        List<Workspace> workspaces = readWorkspaces(root);
        List<ServiceLevel> levels = readServiceLevels(root);
        for (Priority p : Priority.values()) {
            if (levels.stream().noneMatch(l -> l.priority() == p)) {
                root.addFinding("serviceLevels", "has no entry for priority " + p.wireName());
            }
        }
        root.reportUnknownFields();
        findings.throwIfAny();
        return Bundle.of(workspaces, models, pools, domains, levels);
    }

    /**
     * Parses one part. References to entries of other parts are checked by {@link
     * PartContent#merge}.
     *
     * @throws FindingsException with all validation errors; the part's name is used as file name
     */
    static PartContent parsePart(PartName name, byte[] content) {
        String text = new String(content, StandardCharsets.UTF_8);
        return new BundleParser().readPart(JsonDocument.parse(name.toString(), text));
    }

    private PartContent readPart(JsonDocument document) {
        ObjectReader root = ObjectReader.root(document, findings);
        var part =
                new PartContent(
                        readWorkspaces(root),
                        readModels(root, Optional.empty()),
                        readPools(root),
                        root.strings("failureDomains", FailureDomainId::new),
                        readServiceLevels(root));
        root.reportUnknownFields();
        findings.throwIfAny();
        return part;
    }

    // ---- sections

    private List<Workspace> readWorkspaces(ObjectReader root) {
        List<Workspace> list = new ArrayList<>();
        Set<WorkspaceId> seen = new HashSet<>();
        Set<String> seenKeys = new HashSet<>();
        for (ObjectReader r : root.objects("workspaces")) {
            var id = r.required("id", WorkspaceId::new);
            List<String> keys = r.strings("keyHashes", BundleParser::keyHash);
            int share = r.integer("share", 1, MAX_SHARE, 1);
            Priority max = priority(r, "maxPriority", Priority.URGENT);
            int limit = r.integer("maxConcurrent", 1, MAX_REQUESTS, 1_000);
            r.reportUnknownFields();
            for (String key : keys) {
                if (!seenKeys.add(key)) {
                    r.addFinding(
                            "keyHashes",
                            "must be unique, but this or an earlier entry has the same key hash");
                }
            }
            id.ifPresent(
                    w -> {
                        checkUnique(r, seen.add(w), w);
                        list.add(new Workspace(w, keys, share, max, limit));
                    });
        }
        return distinctById(list, Workspace::id);
    }

    private List<Model> readModels(ObjectReader root, Optional<Set<PoolId>> poolIds) {
        List<Model> list = new ArrayList<>();
        Set<ModelId> seen = new HashSet<>();
        for (ObjectReader r : root.objects("models")) {
            var id = r.required("id", ModelId::new);
            var pool = r.required("pool", PoolId::new);
            String version = r.optional("version", v -> v).orElse("1");
            List<String> adapters = r.strings("adapters", v -> v);
            r.reportUnknownFields();
            if (pool.isPresent() && poolIds.isPresent() && !poolIds.get().contains(pool.get())) {
                r.addFinding("pool", "names the unknown pool " + pool.get());
            }
            if (id.isPresent() && pool.isPresent()) {
                checkUnique(r, seen.add(id.get()), id.get());
                list.add(new Model(id.get(), pool.get(), version, adapters));
            }
        }
        return distinctById(list, Model::id);
    }

    private List<Pool> readPools(ObjectReader root) {
        List<Pool> list = new ArrayList<>();
        Set<PoolId> seen = new HashSet<>();
        for (ObjectReader r : root.objects("pools")) {
            var id = r.required("id", PoolId::new);
            Pool.Kind kind = kind(r);
            int shards = r.integer("shards", 1, MAX_SHARDS, 1);
            AdmissionLimits limits = limits(r);
            FencingMode fencing = fencing(r);
            long cacheTokens = r.longInteger("cacheTokens", 0, Long.MAX_VALUE, 0);
            r.reportUnknownFields();
            id.ifPresent(
                    p -> {
                        checkUnique(r, seen.add(p), p);
                        list.add(new Pool(p, kind, shards, limits, fencing, cacheTokens));
                    });
        }
        return distinctById(list, Pool::id);
    }

    private AdmissionLimits limits(ObjectReader r) {
        AdmissionLimits defaults = AdmissionLimits.DEFAULT;
        var limits =
                new AdmissionLimits(
                        r.number("skewFactor", 1.01, 100, defaults.skewFactor()),
                        r.integer("skewFloor", 1, MAX_REQUESTS, defaults.skewFloor()),
                        r.integer("coldStartLimit", 1, MAX_REQUESTS, defaults.coldStartLimit()),
                        r.integer("warmupAnswers", 1, MAX_REQUESTS, defaults.warmupAnswers()),
                        r.number("coldFactor", 1.1, 1_000, defaults.coldFactor()),
                        r.integer("maxConcurrent", 1, MAX_REQUESTS, defaults.maxConcurrent()),
                        r.integer("reservedHolders", 0, 64, defaults.reservedHolders()),
                        r.integer("reservedSlots", 0, MAX_REQUESTS, defaults.reservedSlots()));
        int maxReserved = Math.min(limits.skewFloor(), limits.coldStartLimit());
        if (limits.reservedTotal() > maxReserved) {
            r.addFinding(
                    "reservedSlots",
                    "times reservedHolders is "
                            + limits.reservedTotal()
                            + ", which exceeds the smaller of skewFloor and coldStartLimit, "
                            + maxReserved);
        }
        return limits;
    }

    private List<ServiceLevel> readServiceLevels(ObjectReader root) {
        List<ServiceLevel> list = new ArrayList<>();
        Set<Priority> seen = new HashSet<>();
        for (ObjectReader r : root.objects("serviceLevels")) {
            Priority p = priority(r, "priority", null);
            Duration first = r.millis("firstTokenMs", 1, MAX_TIME_MS, 1_000);
            Duration between = r.millis("betweenTokensMs", 1, MAX_TIME_MS, 100);
            Duration deadline = r.millis("deadlineMs", 1, MAX_TIME_MS, 60_000);
            double objective = r.number("objective", 0.01, 0.99999, 0.99);
            r.reportUnknownFields();
            if (p != null) {
                checkUnique(r, seen.add(p), p.wireName());
                list.add(new ServiceLevel(p, first, between, deadline, objective));
            }
        }
        return distinctById(list, ServiceLevel::priority);
    }

    // ---- field values

    private static String keyHash(String text) {
        if (!ContentHash.isHash(text)) {
            throw new IllegalArgumentException("must be a lower-case hexadecimal SHA-256 hash");
        }
        return text;
    }

    private static Priority priority(ObjectReader r, String name, Priority defaultValue) {
        var text = r.optional(name, v -> v);
        if (text.isEmpty()) {
            if (defaultValue == null) {
                r.addFinding(name, "is missing");
            }
            return defaultValue;
        }
        var found = Priority.fromWireName(text.get());
        if (found.isEmpty()) {
            r.addFinding(name, "must be urgent, interactive or background, not " + text.get());
        }
        return found.orElse(defaultValue);
    }

    private static Pool.Kind kind(ObjectReader r) {
        String text = r.optional("kind", v -> v).orElse("engine");
        for (Pool.Kind k : Pool.Kind.values()) {
            if (k.name().toLowerCase(Locale.ROOT).equals(text)) {
                return k;
            }
        }
        r.addFinding("kind", "must be engine or service, not " + text);
        return Pool.Kind.ENGINE;
    }

    private static FencingMode fencing(ObjectReader r) {
        String text = r.optional("fencing", v -> v).orElse("ignored");
        var found = FencingMode.fromWireName(text);
        if (found.isEmpty()) {
            r.addFinding("fencing", "must be checked or ignored, not " + text);
        }
        return found.orElse(FencingMode.IGNORED);
    }

    private static void checkUnique(ObjectReader r, boolean added, Object id) {
        if (!added) {
            r.addFinding("id", "must be unique, but an earlier entry has id " + id);
        }
    }

    private static <K, V> List<V> distinctById(List<V> list, Function<V, K> id) {
        Set<K> seen = new HashSet<>();
        return list.stream().filter(v -> seen.add(id.apply(v))).toList();
    }
}
