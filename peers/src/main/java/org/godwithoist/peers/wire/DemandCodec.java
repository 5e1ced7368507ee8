package org.godwithoist.peers.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.overload.Demand;
import org.godwithoist.overload.DemandReport;
import org.godwithoist.overload.WorkspaceKey;
import org.godwithoist.peers.DemandMessage;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.targets.PeerLoads;

/**
 * Encodes and decodes demand: the type, sender, domain and service, the times and the scope, and 18
 * bytes for each workspace.
 */
final class DemandCodec {
    /** Type of the message; distinct from the versions of load messages in the same byte. */
    static final int TYPE = 18;

    private static final int MAX_COUNT = 0xffff;

    private static final List<PeerLoads.Scope> SCOPES =
            List.of(PeerLoads.Scope.OWN, PeerLoads.Scope.DOMAIN, PeerLoads.Scope.FLEET);

    private DemandCodec() {}

    static byte[] encode(DemandMessage message) throws IOException {
        DemandReport report = message.report().largest(DemandMessage.MAX_WORKSPACES);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(TYPE);
        out.writeUTF(message.sender().value());
        out.writeUTF(message.domain().value());
        out.writeUTF(report.service().value());
        out.writeLong(report.incarnation());
        out.writeLong(report.sequence());
        out.writeByte(SCOPES.indexOf(report.scope()));
        out.writeShort(Math.min(MAX_COUNT, report.daemons()));
        out.writeByte(report.byWorkspace().size());
        for (Map.Entry<WorkspaceKey, Demand> e : report.byWorkspace().entrySet()) {
            out.writeLong(e.getKey().hash());
            out.writeFloat((float) e.getValue().current());
            out.writeFloat((float) e.getValue().usual());
            out.writeShort(Math.min(MAX_COUNT, e.getValue().inProgress()));
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a message.
     *
     * @throws MalformedMessageException if the bytes are not a valid message
     */
    static DemandMessage decode(byte[] bytes, int length) throws MalformedMessageException {
        try {
            DataInputStream in =
                    new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1));
            HostId sender = new HostId(in.readUTF());
            FailureDomainId domain = new FailureDomainId(in.readUTF());
            ServiceId service = new ServiceId(in.readUTF());
            long incarnation = in.readLong();
            long sequence = in.readLong();
            PeerLoads.Scope scope = SCOPES.get(in.readUnsignedByte());
            int daemons = in.readUnsignedShort();
            Map<WorkspaceKey, Demand> byWorkspace = readDemand(in);
            DemandReport report =
                    new DemandReport(service, incarnation, sequence, scope, daemons, byWorkspace);
            return new DemandMessage(sender, domain, report);
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException("malformed demand message: " + e.getMessage());
        }
    }

    private static Map<WorkspaceKey, Demand> readDemand(DataInputStream in) throws IOException {
        Map<WorkspaceKey, Demand> byWorkspace = new HashMap<>();
        for (int remaining = in.readUnsignedByte(); remaining > 0; remaining--) {
            WorkspaceKey key = new WorkspaceKey(in.readLong());
            byWorkspace.put(
                    key, new Demand(in.readFloat(), in.readFloat(), in.readUnsignedShort()));
        }
        return byWorkspace;
    }
}
