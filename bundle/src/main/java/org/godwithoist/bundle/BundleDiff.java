package org.godwithoist.bundle;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Computes the differences between two bundles in a form that operators can read. */
public final class BundleDiff {
    private static final int SHOWN_HASH_DIGITS = 8;

    private final List<Change> changes = new ArrayList<>();

    private BundleDiff() {}

    /** Returns all differences, grouped by kind of entry and sorted by id; empty if equal. */
    public static List<Change> between(Bundle before, Bundle after) {
        BundleDiff diff = new BundleDiff();
        diff.field(
                "fleet",
                "failureDomains",
                format(before.failureDomains()),
                format(after.failureDomains()));
        diff.entries(
                "service level", before.serviceLevels(), after.serviceLevels(), p -> fields(p));
        diff.entries("workspace", before.workspaces(), after.workspaces(), w -> fields(w));
        diff.entries("model", before.models(), after.models(), m -> fields(m));
        diff.entries("pool", before.pools(), after.pools(), p -> fields(p));
        return List.copyOf(diff.changes);
    }

    private <K, V> void entries(
            String noun,
            Map<K, V> before,
            Map<K, V> after,
            Function<V, Map<String, String>> fields) {
        Map<String, K> keys = new LinkedHashMap<>();
        before.keySet().forEach(k -> keys.put(format(k), k));
        after.keySet().forEach(k -> keys.put(format(k), k));
        for (String name : new TreeSet<>(keys.keySet())) {
            V old = before.get(keys.get(name));
            V now = after.get(keys.get(name));
            String subject = noun + " " + name;
            if (old == null) {
                String values =
                        fields.apply(now).entrySet().stream()
                                .map(e -> e.getKey() + " " + e.getValue())
                                .collect(Collectors.joining(", "));
                changes.add(new Change(Change.Kind.ADDED, subject, "", "", values));
            } else if (now == null) {
                changes.add(new Change(Change.Kind.REMOVED, subject, "", "", ""));
            } else if (!old.equals(now)) {
                Map<String, String> values = fields.apply(now);
                fields.apply(old).forEach((f, v) -> field(subject, f, v, values.get(f)));
            }
        }
    }

    private void field(String subject, String field, String before, String after) {
        if (!before.equals(after)) {
            changes.add(new Change(Change.Kind.CHANGED, subject, field, before, after));
        }
    }

    // ---- fields by kind of entry

    private static Map<String, String> fields(Workspace w) {
        Map<String, String> f = new LinkedHashMap<>();
        // The first digits are enough to distinguish keys and keep the line readable.
        f.put(
                "keyHashes",
                w.keyHashes().stream()
                        .map(k -> k.substring(0, SHOWN_HASH_DIGITS))
                        .collect(Collectors.joining(", ", "[", "]")));
        f.put("share", format(w.share()));
        f.put("maxPriority", w.maxPriority().wireName());
        f.put("maxConcurrent", format(w.maxConcurrent()));
        return f;
    }

    private static Map<String, String> fields(Model m) {
        Map<String, String> f = new LinkedHashMap<>();
        f.put("pool", format(m.pool()));
        f.put("version", m.version());
        f.put("adapters", format(m.adapters()));
        return f;
    }

    private static Map<String, String> fields(Pool p) {
        AdmissionLimits l = p.limits();
        Map<String, String> f = new LinkedHashMap<>();
        f.put("kind", p.kind().name().toLowerCase(Locale.ROOT));
        f.put("shards", format(p.shards()));
        f.put("skewFactor", format(l.skewFactor()));
        f.put("skewFloor", format(l.skewFloor()));
        f.put("coldStartLimit", format(l.coldStartLimit()));
        f.put("warmupAnswers", format(l.warmupAnswers()));
        f.put("coldFactor", format(l.coldFactor()));
        f.put("maxConcurrent", format(l.maxConcurrent()));
        f.put("reservedHolders", format(l.reservedHolders()));
        f.put("reservedSlots", format(l.reservedSlots()));
        f.put("fencing", p.fencing().wireName());
        f.put("cacheTokens", format(p.cacheTokens()));
        return f;
    }

    private static Map<String, String> fields(ServiceLevel l) {
        Map<String, String> f = new LinkedHashMap<>();
        f.put("firstTokenMs", format(l.firstToken()));
        f.put("betweenTokensMs", format(l.betweenTokens()));
        f.put("deadlineMs", format(l.deadline()));
        f.put("objective", format(l.objective()));
        return f;
    }

    private static String format(Object value) {
        return switch (value) {
            case Duration d -> Long.toString(d.toMillis());
            case Enum<?> e -> e.name().toLowerCase(Locale.ROOT);
            case Collection<?> c ->
                    c.stream().map(BundleDiff::format).collect(Collectors.joining(", ", "[", "]"));
            default -> value.toString();
        };
    }
}
