package org.godwithoist.peers.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.peers.LoadMessage;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.targets.CachedPrefix;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.PrefixKey;

/**
 * Encodes messages: a version byte, the sender and its domain, its start, the sequence number, the
 * scope and whether it is complete, the targets with their calls, and the parts that were read,
 * each with the place of its target among the targets. Written by hand, because a protobuf runtime
 * would add about a megabyte to each daemon.
 */
final class LoadCodec {
    /** Longest message in bytes; fits into one packet on all usual links. */
    static final int MAX_BYTES = 1400;

    private static final int VERSION = 1;

    /** Bytes for the targets; the rest is for the parts that were read. */
    private static final int TARGET_BYTES = 900;

    /** Most bytes of a target: its id with a length, and its calls. */
    private static final int LARGEST_TARGET = 2 + TargetId.MAX_LENGTH + 2;

    /** Bytes of a read: the place of the target and the key. */
    private static final int READ_BYTES = 2 + 8;

    private static final int MAX_CALLS = 0xffff;

    /** Scopes by their number in a message. */
    private static final List<PeerLoads.Scope> SCOPES =
            List.of(PeerLoads.Scope.OWN, PeerLoads.Scope.DOMAIN, PeerLoads.Scope.FLEET);

    private LoadCodec() {}

    /**
     * Encodes a message. If it is too long, the targets with the fewest calls and the oldest reads
     * are left out; the next messages repeat the others.
     */
    static byte[] encode(LoadMessage message) throws IOException {
        PeerLoads.Report report = message.report();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(VERSION);
        out.writeUTF(message.sender().value());
        out.writeUTF(message.domain().value());
        out.writeLong(report.incarnation());
        out.writeLong(report.sequence());
        out.writeByte(SCOPES.indexOf(report.scope()));
        out.writeBoolean(report.complete());
        Map<TargetId, Integer> places = writeTargets(report, bytes, out);
        for (int i = report.cachedPrefixes().size() - 1; i >= 0; i--) {
            CachedPrefix read = report.cachedPrefixes().get(i);
            Integer place = places.get(read.target());
            if (place != null && bytes.size() <= MAX_BYTES - READ_BYTES) {
                out.writeShort(place);
                out.writeLong(read.key().hash());
            }
        }
        return bytes.toByteArray();
    }

    private static Map<TargetId, Integer> writeTargets(
            PeerLoads.Report report, ByteArrayOutputStream bytes, DataOutputStream out)
            throws IOException {
        ByteArrayOutputStream targets = new ByteArrayOutputStream();
        DataOutputStream targetsOut = new DataOutputStream(targets);
        Map<TargetId, Integer> places = new HashMap<>();
        for (Map.Entry<TargetId, Integer> e : mostCallsFirst(report)) {
            if (bytes.size() + targets.size() <= TARGET_BYTES - LARGEST_TARGET) {
                places.put(e.getKey(), places.size());
                targetsOut.writeUTF(e.getKey().value());
                targetsOut.writeShort(Math.clamp(e.getValue(), 0, MAX_CALLS));
            }
        }
        out.writeShort(places.size());
        targets.writeTo(out);
        return places;
    }

    private static List<Map.Entry<TargetId, Integer>> mostCallsFirst(PeerLoads.Report report) {
        Map<TargetId, Integer> all = new HashMap<>(report.requests());
        report.cachedPrefixes().forEach(r -> all.putIfAbsent(r.target(), 0));
        Comparator<Map.Entry<TargetId, Integer>> byCalls = Map.Entry.comparingByValue();
        return all.entrySet().stream().sorted(byCalls.reversed()).toList();
    }

    /**
     * Decodes a message.
     *
     * @throws MalformedMessageException if the bytes are no message of this version
     */
    static LoadMessage decode(byte[] bytes, int length) throws MalformedMessageException {
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, 0, length));
            int version = in.readUnsignedByte();
            if (version != VERSION) {
                throw new MalformedMessageException("version " + version + " is not known");
            }
            HostId sender = new HostId(in.readUTF());
            FailureDomainId domain = new FailureDomainId(in.readUTF());
            long incarnation = in.readLong();
            long sequence = in.readLong();
            PeerLoads.Scope scope = SCOPES.get(in.readUnsignedByte());
            boolean complete = in.readBoolean();
            List<TargetId> targets = new ArrayList<>();
            Map<TargetId, Integer> calls = new HashMap<>();
            for (int left = in.readUnsignedShort(); left > 0; left--) {
                TargetId target = new TargetId(in.readUTF());
                targets.add(target);
                calls.put(target, in.readUnsignedShort());
            }
            List<CachedPrefix> reads = new ArrayList<>();
            while (in.available() > 0) {
                TargetId target = targets.get(in.readUnsignedShort());
                reads.add(new CachedPrefix(target, new PrefixKey(in.readLong())));
            }
            PeerLoads.Report report =
                    new PeerLoads.Report(incarnation, sequence, scope, complete, calls, reads);
            return new LoadMessage(sender, domain, report);
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException("unreadable: " + e.getMessage());
        }
    }
}
