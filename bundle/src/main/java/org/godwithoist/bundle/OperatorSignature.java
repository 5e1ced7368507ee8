package org.godwithoist.bundle;

import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.util.Base64;
import org.godwithoist.core.id.OperatorName;

/**
 * Ed25519 signature of an operator over a statement.
 *
 * @param operator name of the operator who signed
 * @param base64 signature bytes in Base64; not validated
 */
public record OperatorSignature(OperatorName operator, String base64) {
    private static final String ALGORITHM = "Ed25519";

    /**
     * Signs a statement.
     *
     * @throws IllegalArgumentException if the key is not an Ed25519 key
     */
    public static OperatorSignature sign(OperatorName operator, PrivateKey key, byte[] statement) {
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initSign(key);
            signature.update(statement);
            String text = Base64.getEncoder().encodeToString(signature.sign());
            return new OperatorSignature(operator, text);
        } catch (GeneralSecurityException e) {
            throw new IllegalArgumentException("the key cannot sign with Ed25519", e);
        }
    }

    /** Returns whether this is a signature of the statement that verifies with the key. */
    public boolean verifies(PublicKey key, byte[] statement) {
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initVerify(key);
            signature.update(statement);
            return signature.verify(Base64.getDecoder().decode(base64));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            // Malformed Base64 or signature bytes count as an invalid signature.
            return false;
        }
    }
}
