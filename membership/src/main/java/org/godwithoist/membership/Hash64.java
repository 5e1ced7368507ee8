package org.godwithoist.membership;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Hashes for digests that daemons compare; combined by exclusive or. */
final class Hash64 {
    private Hash64() {}

    /** Returns the first 64 bits of the SHA-256 hash. */
    static long of(byte[] bytes) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
