package org.godwithoist.targets;

/**
 * Hash of a prompt prefix. Requests with the same key find the same prefix in the cache of an
 * engine.
 *
 * @param hash 64-bit hash of the prefix
 */
public record PromptKey(long hash) {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    /** Returns the key of a text, by FNV-1a over its characters and a final mix. */
    public static PromptKey of(CharSequence text) {
        long h = OFFSET;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * PRIME;
        }
        return new PromptKey(mix(h));
    }

    /**
     * Returns the rendezvous weight of a target for this key; the target with the highest weight
     * comes first.
     */
    long weight(long targetHash) {
        return mix(hash ^ targetHash);
    }

    private static long mix(long value) {
        long v = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        v = (v ^ (v >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return v ^ (v >>> 33);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PromptKey o && hash == o.hash;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(hash);
    }
}
