package org.godwithoist.bundle;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Names a part or a manifest by the SHA-256 hash of its bytes, so that content received from
 * anywhere can be checked against its name.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record ContentHash(String hex) implements Comparable<ContentHash> {
    private static final int DIGITS = 64;

    /**
     * Checks the digits.
     *
     * @throws IllegalArgumentException if the text is not a hash
     */
    public ContentHash {
        if (!isHash(hex)) {
            throw new IllegalArgumentException("must be a lower-case hexadecimal SHA-256 hash");
        }
    }

    /** Returns whether a text has the form of a hash. */
    public static boolean isHash(String text) {
        if (text.length() != DIGITS) {
            return false;
        }
        return text.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
    }

    /** Returns the name of the given bytes. */
    public static ContentHash of(byte[] content) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
            return new ContentHash(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
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
