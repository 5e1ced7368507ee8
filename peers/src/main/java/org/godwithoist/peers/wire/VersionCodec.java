package org.godwithoist.peers.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.peers.VersionMessage;
import org.godwithoist.streams.StreamOrigin;
import org.godwithoist.streams.VersionSighting;
import org.godwithoist.targets.SoftwareVersion;

/**
 * Encodes and decodes messages about versions: the type byte, the sender, its failure domain, the
 * service, the version, which is empty for targets that name none, and the age in milliseconds.
 */
final class VersionCodec {
    static final int TYPE = 19;

    private VersionCodec() {}

    static byte[] encode(VersionMessage message) throws IOException {
        VersionSighting sighting = message.sighting();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(TYPE);
        out.writeUTF(message.sender().value());
        out.writeUTF(message.domain().value());
        out.writeUTF(sighting.service().value());
        out.writeUTF(sighting.version().version().map(SoftwareVersion::value).orElse(""));
        out.writeLong(sighting.age().toMillis());
        return bytes.toByteArray();
    }

    /**
     * Decodes a message, whose first byte tells its type.
     *
     * @throws MalformedMessageException if the bytes are not a valid message
     */
    static VersionMessage decode(byte[] bytes, int length) throws MalformedMessageException {
        try {
            DataInputStream in =
                    new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1));
            HostId sender = new HostId(in.readUTF());
            FailureDomainId domain = new FailureDomainId(in.readUTF());
            ServiceId service = new ServiceId(in.readUTF());
            String version = in.readUTF();
            Duration age = Duration.ofMillis(in.readLong());
            return new VersionMessage(
                    sender, domain, new VersionSighting(service, origin(version), age));
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedMessageException("malformed version message: " + e.getMessage());
        }
    }

    private static StreamOrigin origin(String version) {
        return new StreamOrigin(
                version.isEmpty() ? Optional.empty() : Optional.of(new SoftwareVersion(version)));
    }
}
