package org.godwithoist.targets;

/**
 * Hash of the shared parts of a prompt. Calls with the same key find the same parts in the cache of
 * an engine.
 *
 * @param hash hash of the parts
 */
public record PromptKey(long hash) {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    /** Returns the key of a text. */
    public static PromptKey of(CharSequence text) {
        long h = OFFSET;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * PRIME;
        }
        return new PromptKey(mix(h));
    }

    /** Returns the weight of a target for this key; the target with the highest weight is first. */
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
