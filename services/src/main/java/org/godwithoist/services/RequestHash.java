package org.godwithoist.services;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hash of a request's method, path and body. Requests with the same idempotency key must have the
 * same hash.
 *
 * @param value lower-case hexadecimal SHA-256
 */
public record RequestHash(String value) {
    /** Computes the hash; the path includes the query. */
    public static RequestHash of(MethodName method, String path, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head = method + " " + path + "\n";
            digest.update(head.getBytes(StandardCharsets.UTF_8));
            return new RequestHash(HexFormat.of().formatHex(digest.digest(body)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
