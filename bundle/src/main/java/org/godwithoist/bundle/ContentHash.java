package org.godwithoist.bundle;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 hash that identifies a part or a manifest. Content from any source can be verified
 * against it.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record ContentHash(String hex) implements Comparable<ContentHash> {
    private static final int DIGITS = 64;

    /**
     * Validates the digits.
     *
     * @throws IllegalArgumentException if the text is not a hash
     */
    public ContentHash {
        if (!isHash(hex)) {
            throw new IllegalArgumentException("must be a lower-case hexadecimal SHA-256 hash");
        }
    }

    /** Returns whether the text consists of 64 lower-case hexadecimal digits. */
    public static boolean isHash(String text) {
        if (text.length() != DIGITS) {
            return false;
        }
        return text.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
    }

    /** Computes the hash of the given bytes. */
    public static ContentHash of(byte[] content) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
            return new ContentHash(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    @Override
    public int compareTo(ContentHash other) {
        return hex.compareTo(other.hex);
    }

    @Override
    public String toString() {
        return hex;
    }
}
