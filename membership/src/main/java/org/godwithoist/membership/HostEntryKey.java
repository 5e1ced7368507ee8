package org.godwithoist.membership;

import java.util.Comparator;
import java.util.Optional;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.store.HostEntry;

/**
 * Identifies an entry of the host list. The host is not sufficient, because a host may run several
 * targets and a target that moves is listed at two hosts.
 *
 * @param target the target on the host; empty for daemons
 */
public record HostEntryKey(HostId host, Optional<TargetId> target)
        implements Comparable<HostEntryKey> {
    private static final Comparator<HostEntryKey> COMPARATOR =
            Comparator.comparing(HostEntryKey::host)
                    .thenComparing(k -> k.target().map(TargetId::value).orElse(""));

    /** Returns the key of an entry. */
    public static HostEntryKey of(HostEntry entry) {
        return new HostEntryKey(entry.host(), entry.target());
    }

    @Override
    public int compareTo(HostEntryKey other) {
        return COMPARATOR.compare(this, other);
    }
}
