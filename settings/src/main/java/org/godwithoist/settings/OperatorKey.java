package org.godwithoist.settings;

/**
 * An operator who may give orders and roll bundles.
 *
 * @param name name shown in histories
 * @param tokenHash lower-case hexadecimal SHA-256 hash of the bearer token
 * @param publicKey Base64 of the X.509 encoding of the Ed25519 key that verifies signatures
 */
public record OperatorKey(String name, String tokenHash, String publicKey) {}
