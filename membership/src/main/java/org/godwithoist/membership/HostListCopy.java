package org.godwithoist.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.store.HostEntry;

/**
 * Content of a host list with its digest. Immutable. Consecutive copies share the unchanged
 * entries, so retaining the copies of the last minute uses little memory.
 */
public final class HostListCopy {
    /** The empty list. */
    public static final HostListCopy EMPTY = new HostListCopy(List.of(), 0);

    /**
     * Difference between two copies.
     *
     * @param changed entries that are new or differ, in key order
     * @param removed keys of removed entries, in key order
     */
    public record Changes(List<HostEntry> changed, List<HostEntryKey> removed) {
        /** Returns the number of entries that were added, changed or removed. */
        public int size() {
            return changed.size() + removed.size();
        }
    }

    private final List<HostEntry> entries;
    private final long digest;

    private HostListCopy(List<HostEntry> entries, long digest) {
        this.entries = entries;
        this.digest = digest;
    }

    /** Returns the entries in key order; each key occurs once. */
    public List<HostEntry> entries() {
        return entries;
    }

    /** Returns the digest of the content, which does not depend on the order of the entries. */
    public long digest() {
        return digest;
    }

    /**
     * Returns a copy with the given content, or this copy if the content is the same. If a key
     * occurs twice, the entry that may get less work takes precedence.
     */
    public HostListCopy withContent(Collection<HostEntry> hosts) {
        Map<HostEntryKey, HostEntry> byKey = new TreeMap<>();
        for (HostEntry h : hosts) {
            byKey.merge(HostEntryKey.of(h), h, (a, b) -> a.state().acceptsWork() ? b : a);
        }
        return apply(difference(List.copyOf(byKey.values())));
    }

    /** Returns the changes from this copy to another one. */
    public Changes changesTo(HostListCopy newer) {
        return difference(newer.entries);
    }

    private Changes difference(List<HostEntry> newer) {
        List<HostEntry> changed = new ArrayList<>();
        List<HostEntryKey> removed = new ArrayList<>();
        int i = 0;
        int j = 0;
        while (i < entries.size() || j < newer.size()) {
            if (i < entries.size() && j < newer.size() && entries.get(i).equals(newer.get(j))) {
                i++;
                j++;
                continue;
            }
            int order = compare(i, newer, j);
            if (order < 0) {
                removed.add(HostEntryKey.of(entries.get(i)));
            } else {
                changed.add(newer.get(j));
            }
            i += order <= 0 ? 1 : 0;
            j += order >= 0 ? 1 : 0;
        }
        return new Changes(changed, removed);
    }

    private int compare(int i, List<HostEntry> newer, int j) {
        if (i == entries.size()) {
            return 1;
        }
        if (j == newer.size()) {
            return -1;
        }
        return HostEntryKey.of(entries.get(i)).compareTo(HostEntryKey.of(newer.get(j)));
    }

    /** Returns a copy with changes applied, or this copy if there are none. */
    public HostListCopy apply(Changes changes) {
        if (changes.size() == 0) {
            return this;
        }
        Map<HostEntryKey, HostEntry> byKey = new TreeMap<>();
        entries.forEach(h -> byKey.put(HostEntryKey.of(h), h));
        // Only the entries that differ are hashed. Hashing 10,940 entries each second would cost a
        // reader about 1 % of a core.
        long sum = digest;
        for (HostEntryKey key : changes.removed()) {
            sum -= hash(byKey.remove(key));
        }
        for (HostEntry h : changes.changed()) {
            sum += hash(h) - hash(byKey.put(HostEntryKey.of(h), h));
        }
        return new HostListCopy(List.copyOf(byKey.values()), sum);
    }

    private static long hash(HostEntry h) {
        if (h == null) {
            return 0;
        }
        // No part contains a space, so no two entries have the same text.
        String text =
                String.join(
                        " ",
                        h.host().value(),
                        h.kind().name(),
                        h.target().map(TargetId::value).orElse(""),
                        h.pool().map(PoolId::value).orElse(""),
                        h.failureDomain().value(),
                        h.address().toString(),
                        h.state().name());
        return Hash64.of(text.getBytes(StandardCharsets.UTF_8));
    }
}
