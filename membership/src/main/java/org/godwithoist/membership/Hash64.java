package org.godwithoist.membership;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * 64-bit hashes for digests that daemons compare. Digests combine hashes by exclusive or, or by
 * sum.
 */
final class Hash64 {
    private Hash64() {}

    /** Returns the first 64 bits of the SHA-256 hash, in big-endian order. */
    static long of(byte[] bytes) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
