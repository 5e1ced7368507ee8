package org.godwithoist.bundle;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.settings.OperatorKey;

/** Test operators with key pairs, bundles of any size and signed heads. */
public final class Fixture {
    public static final OperatorName ANNA = new OperatorName("anna");
    public static final OperatorName BEN = new OperatorName("ben");
    public static final OperatorName MALLORY = new OperatorName("mallory");

    private final Map<OperatorName, KeyPair> pairs = new LinkedHashMap<>();

    public Fixture() {
        for (OperatorName n : List.of(ANNA, BEN, MALLORY)) {
            pairs.put(n, newPair());
        }
    }

    private static KeyPair newPair() {
        try {
            return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Operators in the settings; MALLORY has a key pair but is not among them. */
    public List<OperatorKey> operators() {
        List<OperatorKey> list = new ArrayList<>();
        for (OperatorName n : List.of(ANNA, BEN)) {
            byte[] key = pairs.get(n).getPublic().getEncoded();
            String hash = ContentHash.of(token(n).getBytes(StandardCharsets.UTF_8)).hex();
            list.add(new OperatorKey(n.value(), hash, Base64.getEncoder().encodeToString(key)));
        }
        return list;
    }

    public OperatorKeys keys() {
        return new OperatorKeys(operators());
    }

    public static String token(OperatorName name) {
        return "token-of-" + name;
    }

    public OperatorSignature sign(
            OperatorName by,
            SignatureRole role,
            long revision,
            ContentHash m,
            OperatorName author) {
        return OperatorSignature.sign(
                by, pairs.get(by).getPrivate(), role.statement(revision, m, author));
    }

    public Head head(
            long revision, ContentHash manifest, OperatorName author, OperatorName signer) {
        return new Head(
                revision,
                manifest,
                sign(author, SignatureRole.AUTHOR, revision, manifest, author),
                sign(signer, SignatureRole.SIGNER, revision, manifest, author));
    }

    /**
     * Creates the text of a bundle.
     *
     * @param share share of workspace-0; all others have share 1
     */
    public static String text(int workspaces, int share) {
        StringBuilder b =
                new StringBuilder("{\"format\": 1, \"failureDomains\": [\"d1\", \"d2\"],\n");
        b.append("\"workspaces\": [\n");
        for (int i = 0; i < workspaces; i++) {
            b.append(
                    String.format(
                            Locale.ROOT,
                            "{\"id\": \"workspace-%d\", \"keyHashes\": [\"%064x\"], \"share\": %d},\n",
                            i,
                            i,
                            i == 0 ? share : 1));
        }
        return b.append("], \"models\": [{\"id\": \"assistant\", \"pool\": \"assistants\"}],\n")
                .append("\"pools\": [{\"id\": \"assistants\", \"cacheTokens\": 1000}],\n")
                .append("\"serviceLevels\": [{\"priority\": \"urgent\"},")
                .append("{\"priority\": \"interactive\"}, {\"priority\": \"background\"}]}")
                .toString();
    }
}
