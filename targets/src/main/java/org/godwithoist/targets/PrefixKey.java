package org.godwithoist.targets;

/**
 * Hash of a prompt prefix. Requests with the same key find the same prefix in the cache of an
 * engine.
 *
 * @param hash 64-bit hash of the prefix
 */
public record PrefixKey(long hash) {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Returns the key of a text: FNV-1a over its characters, then {@link #mix}. */
    public static PrefixKey of(CharSequence text) {
        long hashed = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hashed = (hashed ^ text.charAt(i)) * FNV_PRIME;
        }
        return new PrefixKey(mix(hashed));
    }

    /**
     * Returns the rendezvous weight of a target for this key; the target with the highest weight
     * comes first.
     */
    long weight(long targetHash) {
        return mix(hash ^ targetHash);
    }

    /** The 64-bit finalizer of MurmurHash3, by which each input bit affects all output bits. */
    private static long mix(long value) {
        long v = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        v = (v ^ (v >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return v ^ (v >>> 33);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PrefixKey o && hash == o.hash;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(hash);
    }
}
