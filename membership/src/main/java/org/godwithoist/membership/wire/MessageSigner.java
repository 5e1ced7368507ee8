package org.godwithoist.membership.wire;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.godwithoist.core.id.HostId;
import org.godwithoist.settings.PeerKey;

/** Signs messages between daemons with HMAC-SHA-256 and verifies their signatures. Thread-safe. */
final class MessageSigner {
    /** A key rotation needs two valid keys; more would only widen what is accepted. */
    static final int MAX_KEYS = 2;

    private static final String ALGORITHM = "HmacSHA256";

    /** Direction of a message, signed so that a response is never accepted as a request. */
    enum Kind {
        REQUEST,
        RESPONSE
    }

    /**
     * Metadata that a signature covers besides the body.
     *
     * @param kind direction
     * @param version protocol version
     * @param method full name of the method
     * @param sender host that signs
     * @param receiver host that receives the message
     * @param senderIncarnation incarnation of the sender
     * @param receiverIncarnation incarnation of the receiver, 0 if the sender does not know it yet
     * @param sequence sequence number of the request, also in its response
     * @param status gRPC status of a response, 0 in a request
     */
    record Envelope(
            Kind kind,
            String version,
            String method,
            HostId sender,
            HostId receiver,
            long senderIncarnation,
            long receiverIncarnation,
            long sequence,
            int status) {}

    private final List<PeerKey> keys;

    /** Creates a signer; the first key signs, all verify. */
    MessageSigner(List<PeerKey> keys) {
        if (keys.isEmpty() || keys.size() > MAX_KEYS) {
            throw new IllegalArgumentException(
                    "expected 1 or " + MAX_KEYS + " peer keys, got " + keys.size());
        }
        this.keys = List.copyOf(keys);
    }

    String keyId() {
        return keys.getFirst().id();
    }

    /** Returns the signature by the first key, in Base64. */
    String sign(Envelope envelope, byte[] body) {
        return Base64.getEncoder()
                .withoutPadding()
                .encodeToString(mac(keys.getFirst(), envelope, body));
    }

    /** Returns false if the key is unknown or the signature is malformed or does not match. */
    boolean verify(String keyId, String signature, Envelope envelope, byte[] body) {
        Optional<PeerKey> key = keys.stream().filter(k -> k.id().equals(keyId)).findFirst();
        if (key.isEmpty()) {
            return false;
        }
        try {
            byte[] received = Base64.getDecoder().decode(signature);
            return MessageDigest.isEqual(received, mac(key.get(), envelope, body));
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static byte[] mac(PeerKey key, Envelope e, byte[] body) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.secret().getBytes(StandardCharsets.UTF_8), ALGORITHM));
            mac.update(encode(e));
            return mac.doFinal(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (GeneralSecurityException x) {
            throw new IllegalStateException(
                    "cannot compute the signature of a message with " + ALGORITHM, x);
        }
    }

    /** Encodes each text with its length, so that no two envelopes have the same encoding. */
    private static byte[] encode(Envelope e) {
        var bytes = new ByteArrayOutputStream();
        try (var out = new DataOutputStream(bytes)) {
            out.writeUTF(e.kind().name());
            out.writeUTF(e.version());
            out.writeUTF(e.method());
            out.writeUTF(e.sender().value());
            out.writeUTF(e.receiver().value());
            out.writeLong(e.senderIncarnation());
            out.writeLong(e.receiverIncarnation());
            out.writeLong(e.sequence());
            out.writeInt(e.status());
        } catch (IOException x) {
            throw new UncheckedIOException("writing to memory cannot fail", x);
        }
        return bytes.toByteArray();
    }
}
