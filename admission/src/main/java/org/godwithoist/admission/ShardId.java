package org.godwithoist.admission;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;

/**
 * Partition of a pool's targets that has one owner.
 *
 * @param pool the pool
 * @param index number of the shard within the pool, from 0
 */
public record ShardId(PoolId pool, int index) {
    /** Returns the shard that contains a target. */
    public static ShardId of(Pool pool, TargetId target) {
        return new ShardId(pool.id(), (int) (hash(target.value()) % pool.shards()));
    }

    /** Returns the key of the lease row of the shard. */
    public String rowKey() {
        return pool.value() + "/" + index;
    }

    /** Returns the hosts in order of preference as owner of this shard. */
    public List<HostId> rank(Collection<HostId> hosts) {
        return rank(rowKey(), hosts);
    }

    /** Returns the hosts in the order of their rendezvous scores for a key. */
    static List<HostId> rank(String key, Collection<HostId> hosts) {
        return hosts.stream()
                .sorted(
                        Comparator.comparingLong((HostId h) -> hash(key + "|" + h.value()))
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /**
     * CRC-32 with a multiplicative mix: the result is the same on every daemon and Java version.
     */
    private static long hash(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return (crc.getValue() * 0x9E3779B97F4A7C15L) >>> 33;
    }
}
