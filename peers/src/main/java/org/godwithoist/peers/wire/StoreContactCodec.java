package org.godwithoist.peers.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.peers.StoreContactMessage;

/**
 * Encodes and decodes messages about the contact with the store: the type byte, the sender and its
 * failure domain.
 */
final class StoreContactCodec {
    static final int TYPE = 20;

    private StoreContactCodec() {}

    static byte[] encode(StoreContactMessage message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(TYPE);
        out.writeUTF(message.sender().value());
        out.writeUTF(message.domain().value());
        return bytes.toByteArray();
    }

    /**
     * Decodes a message, whose first byte tells its type.
     *
     * @throws MalformedMessageException if the bytes are not a valid message
     */
    static StoreContactMessage decode(byte[] bytes, int length) throws MalformedMessageException {
        try {
            DataInputStream in =
                    new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1));
            HostId sender = new HostId(in.readUTF());
            return new StoreContactMessage(sender, new FailureDomainId(in.readUTF()));
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedMessageException(
                    "malformed message about the store: " + e.getMessage());
        }
    }
}
