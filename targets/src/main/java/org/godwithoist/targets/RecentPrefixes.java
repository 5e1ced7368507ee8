package org.godwithoist.targets;

import java.util.ArrayDeque;
import java.util.List;
import org.godwithoist.core.id.TargetId;

/**
 * Prompt prefixes that one target has recently cached for this daemon, which the reports to the
 * other daemons include. Not thread-safe.
 */
final class RecentPrefixes {
    /**
     * Time for which a prefix is included. Several reports carry it, so that the loss of one does
     * no harm.
     */
    private static final long RETENTION_NANOS = PeerLoads.MAX_REPORT_AGE.toNanos();

    private record RecentPrefix(PrefixKey key, long recordedAt) {}

    private final ArrayDeque<RecentPrefix> prefixes = new ArrayDeque<>();

    void add(PrefixKey key, long now) {
        removeOld(now);
        prefixes.addLast(new RecentPrefix(key, now));
    }

    List<CachedPrefix> at(TargetId target, long now) {
        if (prefixes.isEmpty()) {
            return List.of();
        }
        removeOld(now);
        return prefixes.stream().map(r -> new CachedPrefix(target, r.key())).toList();
    }

    private void removeOld(long now) {
        while (!prefixes.isEmpty() && now - prefixes.peekFirst().recordedAt() >= RETENTION_NANOS) {
            prefixes.pollFirst();
        }
    }
}
