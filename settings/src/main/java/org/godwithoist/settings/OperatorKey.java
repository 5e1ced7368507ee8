package org.godwithoist.settings;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PublicKey;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;

/**
 * Credentials of an operator, who may give orders and roll bundles.
 *
 * @param name operator name shown in histories
 * @param tokenHash SHA-256 hash of the bearer token, lower-case hexadecimal
 * @param publicKey Ed25519 key that verifies signatures, X.509 encoded as Base64
 */
public record OperatorKey(String name, String tokenHash, String publicKey) {
    /**
     * Decodes {@link #publicKey()}.
     *
     * @throws IllegalArgumentException if {@link #publicKey()} is not an Ed25519 key
     */
    public PublicKey verificationKey() {
        try {
            byte[] encoded = Base64.getDecoder().decode(publicKey);
            return KeyFactory.getInstance("Ed25519")
                    .generatePublic(new X509EncodedKeySpec(encoded));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "must be an Ed25519 public key in X.509 form, encoded as Base64", e);
        }
    }
}
