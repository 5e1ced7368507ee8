package org.godwithoist.peers.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.peers.DemandMessage;
import org.godwithoist.peers.EvidenceMessage;
import org.godwithoist.peers.LoadMessage;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.peers.PeerMessage;
import org.godwithoist.peers.RolloutMessage;
import org.godwithoist.peers.StoreContactMessage;
import org.godwithoist.peers.VersionMessage;
import org.godwithoist.peers.WorkMessage;
import org.godwithoist.quarantine.SuspectEvidence;
import org.godwithoist.quarantine.wire.EvidenceCodec;
import org.godwithoist.rollout.wire.RolloutReportCodec;

/**
 * Encodes and decodes messages between daemons. The first byte tells the type; that of load
 * messages is their version. An older daemon rejects types that it does not know.
 */
final class PeerCodec {
    /** Maximum size of a message; fits into one packet on all common links. */
    static final int MAX_BYTES = 1400;

    static final int EVIDENCE = 3;
    static final int ROLLOUT = 16;

    /** Far from the versions of load messages, so that these can grow. */
    static final int WORK = 17;

    private PeerCodec() {}

    static byte[] encode(PeerMessage message) throws IOException {
        return switch (message) {
            case LoadMessage load -> LoadCodec.encode(load);
            case EvidenceMessage evidence -> encodeEvidence(evidence);
            case WorkMessage work -> WorkCodec.encode(work);
            case DemandMessage demand -> DemandCodec.encode(demand);
            case RolloutMessage rollout -> encodeRollout(rollout);
            case VersionMessage version -> VersionCodec.encode(version);
            case StoreContactMessage contact -> StoreContactCodec.encode(contact);
        };
    }

    private static byte[] encodeEvidence(EvidenceMessage message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(EVIDENCE);
        out.writeUTF(message.sender().value());
        out.writeUTF(message.domain().value());
        out.writeByte(message.evidence().size());
        for (SuspectEvidence e : message.evidence()) {
            EvidenceCodec.write(e, out);
        }
        return bytes.toByteArray();
    }

    private static byte[] encodeRollout(RolloutMessage message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(ROLLOUT);
        out.writeUTF(message.sender().value());
        out.writeUTF(message.domain().value());
        RolloutReportCodec.write(message.report(), MAX_BYTES - out.size(), out);
        return bytes.toByteArray();
    }

    /**
     * Decodes a message.
     *
     * @throws MalformedMessageException if the bytes are not a valid message of a known type
     */
    static PeerMessage decode(byte[] bytes, int length) throws MalformedMessageException {
        int type = length > 0 ? bytes[0] : -1;
        return switch (type) {
            case EVIDENCE -> decodeEvidence(bytes, length);
            case WORK -> WorkCodec.decode(bytes, length);
            case DemandCodec.TYPE -> DemandCodec.decode(bytes, length);
            case ROLLOUT -> decodeRollout(bytes, length);
            case VersionCodec.TYPE -> VersionCodec.decode(bytes, length);
            case StoreContactCodec.TYPE -> StoreContactCodec.decode(bytes, length);
            default -> LoadCodec.decode(bytes, length);
        };
    }

    private static RolloutMessage decodeRollout(byte[] bytes, int length)
            throws MalformedMessageException {
        try {
            DataInputStream in =
                    new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1));
            HostId sender = new HostId(in.readUTF());
            FailureDomainId domain = new FailureDomainId(in.readUTF());
            return new RolloutMessage(sender, domain, RolloutReportCodec.read(in));
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedMessageException("malformed rollout message: " + e.getMessage());
        }
    }

    private static EvidenceMessage decodeEvidence(byte[] bytes, int length)
            throws MalformedMessageException {
        try {
            DataInputStream in =
                    new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1));
            HostId sender = new HostId(in.readUTF());
            FailureDomainId domain = new FailureDomainId(in.readUTF());
            List<SuspectEvidence> evidence = new ArrayList<>();
            for (int remaining = in.readUnsignedByte(); remaining > 0; remaining--) {
                evidence.add(EvidenceCodec.read(in));
            }
            return new EvidenceMessage(sender, domain, evidence);
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedMessageException("malformed evidence message: " + e.getMessage());
        }
    }
}
