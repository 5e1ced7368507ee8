package org.godwithoist.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.function.Consumer;

/**
 * Identifies a request and its repeats, which differ in their request ids only. Callers choose most
 * of what is hashed; the hash is cryptographic, so that no caller can make a request that passes
 * for the request of another one.
 *
 * @param value {@value #DIGITS} hexadecimal digits
 */
public record RequestFingerprint(String value) {
    /** Number of hexadecimal digits of a value. */
    public static final int DIGITS = 30;

    private static final int HASH_BYTES = DIGITS / 2;

    /**
     * Returns the fingerprint of a request.
     *
     * @param body adds the body of the request to a digest
     * @param texts what else identifies the request: its method, its address, its caller and the
     *     prompt that it names, always in the same order
     */
    public static RequestFingerprint of(Consumer<MessageDigest> body, String... texts) {
        MessageDigest digest = sha256();
        for (String t : texts) {
            byte[] bytes = t.getBytes(StandardCharsets.UTF_8);
            updateLength(digest, bytes.length);
            digest.update(bytes);
        }
        body.accept(digest);
        byte[] hash = Arrays.copyOf(digest.digest(), HASH_BYTES);
        return new RequestFingerprint(HexFormat.of().formatHex(hash));
    }

    /** Adds the length of a text, so that a text cannot go on in the next one. */
    private static void updateLength(MessageDigest digest, int length) {
        for (int shift = Integer.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            digest.update((byte) (length >>> shift));
        }
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RequestFingerprint o && value.equals(o.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
