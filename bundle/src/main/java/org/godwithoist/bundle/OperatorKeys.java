package org.godwithoist.bundle;

import java.security.PublicKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.settings.OperatorKey;

/** Public keys of the operators in the settings; verifies signatures. Immutable. */
public final class OperatorKeys {
    private final Map<OperatorName, PublicKey> keys = new HashMap<>();

    /**
     * Decodes the public keys.
     *
     * @throws IllegalArgumentException if a key is malformed
     */
    public OperatorKeys(List<OperatorKey> operators) {
        for (OperatorKey o : operators) {
            keys.put(new OperatorName(o.name()), o.verificationKey());
        }
    }

    /**
     * Returns why a signature is invalid, or empty if it is a valid signature of the {@linkplain
     * SignatureRole#statement statement} with the given role, revision, manifest and author.
     */
    public Optional<String> validationError(
            OperatorSignature signature,
            SignatureRole role,
            long revision,
            ContentHash manifest,
            OperatorName author) {
        PublicKey key = keys.get(signature.operator());
        if (key == null) {
            return Optional.of("operator " + signature.operator() + " is not in the settings");
        }
        if (!signature.verifies(key, role.statement(revision, manifest, author))) {
            return Optional.of(
                    "the signature of operator " + signature.operator() + " does not verify");
        }
        return Optional.empty();
    }

    /**
     * Returns why a head must not be adopted, or empty if its signatures are valid and were made by
     * two operators with different keys.
     */
    public Optional<String> validationError(Head head) {
        OperatorName author = head.author().operator();
        OperatorName signer = head.signer().operator();
        if (author.equals(signer)) {
            return Optional.of("author and signer are both " + author);
        }
        Optional<String> error =
                validationError(
                                head.author(),
                                SignatureRole.AUTHOR,
                                head.revision(),
                                head.manifest(),
                                author)
                        .or(
                                () ->
                                        validationError(
                                                head.signer(),
                                                SignatureRole.SIGNER,
                                                head.revision(),
                                                head.manifest(),
                                                author));
        if (error.isEmpty() && keys.get(author).equals(keys.get(signer))) {
            return Optional.of("author and signer have the same key");
        }
        return error;
    }
}
