package org.godwithoist.routing;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous hashing: every daemon ranks the same nodes in the same order for a key, and a change
 * of the nodes affects only the keys of the changed nodes.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the nodes in order of preference for a key. */
    public static <T> List<T> rank(String key, List<T> nodes, Function<T, String> nodeName) {
        long keyHash = hash(key);
        Comparator<T> byScore =
                Comparator.comparingLong((T n) -> score(keyHash, hash(nodeName.apply(n))));
        return nodes.stream().sorted(byScore.reversed()).toList();
    }

    /** Returns the score of a node for a key, from their hashes; higher is preferred. */
    public static long score(long keyHash, long nodeHash) {
        return mix(keyHash ^ Long.rotateLeft(nodeHash, 32));
    }

    /** Returns a uniformly distributed 64-bit hash of a text (FNV-1a with a final mix). */
    public static long hash(String text) {
        long h = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ (b & 0xff)) * FNV_PRIME;
        }
        return mix(h);
    }

    private static long mix(long x) {
        long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
