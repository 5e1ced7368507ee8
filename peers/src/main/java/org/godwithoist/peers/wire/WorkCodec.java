package org.godwithoist.peers.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.peers.WorkMessage;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.TargetKey;
import org.godwithoist.targets.TokenWork;
import org.godwithoist.targets.WorkReport;
import org.godwithoist.targets.WorkTimeReading;

/**
 * Encodes and decodes work messages: the type byte, the sender, its failure domain and incarnation,
 * the sequence number, the scope, the completeness flag, and {@value #ENTRY_BYTES} bytes for each
 * target: its key, tokens to prefill, tokens held, work time and its age. Numbers are rounded and
 * cut to their range.
 */
final class WorkCodec {
    /** Size of a target: key, two token counts, work time and age. */
    private static final int ENTRY_BYTES = 4 + 2 + 2 + 1 + 1;

    /** Tokens in one unit of a token count; the range is about 4 million. */
    private static final int TOKEN_UNIT = 64;

    private static final int MAX_TOKEN_UNITS = 0xffff;

    /** Percent in one unit of a work time. */
    private static final int PERCENT_UNIT = 10;

    private static final int MAX_BYTE = 0xff;

    /** Encoded work time of a target of which no reading is known. */
    private static final int NO_READING = 0;

    /** Milliseconds in one unit of an age. */
    private static final int AGE_UNIT_MS = 4;

    /** Scopes by their code in a message. */
    private static final List<PeerLoads.Scope> SCOPES =
            List.of(PeerLoads.Scope.OWN, PeerLoads.Scope.DOMAIN, PeerLoads.Scope.FLEET);

    private WorkCodec() {}

    /**
     * Encodes a message. If it exceeds {@link PeerCodec#MAX_BYTES}, the targets with the least work
     * are omitted, and the report counts as incomplete.
     */
    static byte[] encode(WorkMessage message) throws IOException {
        WorkReport report = message.report();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(PeerCodec.WORK);
        out.writeUTF(message.sender().value());
        out.writeUTF(message.domain().value());
        out.writeLong(report.incarnation());
        out.writeLong(report.sequence());
        out.writeByte(SCOPES.indexOf(report.scope()));
        List<TargetKey> targets = byDescendingWork(report);
        int room = (PeerCodec.MAX_BYTES - bytes.size() - 1) / ENTRY_BYTES;
        List<TargetKey> included = targets.subList(0, Math.min(room, targets.size()));
        out.writeBoolean(report.complete() && included.size() == targets.size());
        for (TargetKey key : included) {
            write(key, report, out);
        }
        return bytes.toByteArray();
    }

    private static List<TargetKey> byDescendingWork(WorkReport report) {
        Set<TargetKey> targets = new HashSet<>(report.work().keySet());
        targets.addAll(report.workTimes().keySet());
        Comparator<TargetKey> byHeld = Comparator.comparingLong(k -> work(report, k).held());
        return targets.stream().sorted(byHeld.reversed()).toList();
    }

    private static TokenWork work(WorkReport report, TargetKey key) {
        return report.work().getOrDefault(key, TokenWork.NONE);
    }

    private static void write(TargetKey key, WorkReport report, DataOutputStream out)
            throws IOException {
        TokenWork work = work(report, key);
        out.writeInt(key.hash());
        out.writeShort(units(work.prefill()));
        out.writeShort(units(work.held()));
        WorkTimeReading reading = report.workTimes().get(key);
        if (reading == null) {
            out.writeByte(NO_READING);
            out.writeByte(0);
            return;
        }
        out.writeByte(
                Math.clamp(Math.round((float) reading.percent() / PERCENT_UNIT), 1, MAX_BYTE));
        out.writeByte(
                Math.clamp(
                        (reading.age().toMillis() + AGE_UNIT_MS - 1) / AGE_UNIT_MS, 0, MAX_BYTE));
    }

    private static int units(long tokens) {
        return Math.clamp((tokens + TOKEN_UNIT / 2) / TOKEN_UNIT, 0, MAX_TOKEN_UNITS);
    }

    /**
     * Decodes a message, whose first byte tells its type.
     *
     * @throws MalformedMessageException if the bytes are not a valid message
     */
    static WorkMessage decode(byte[] bytes, int length) throws MalformedMessageException {
        try {
            DataInputStream in =
                    new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1));
            HostId sender = new HostId(in.readUTF());
            FailureDomainId domain = new FailureDomainId(in.readUTF());
            long incarnation = in.readLong();
            long sequence = in.readLong();
            PeerLoads.Scope scope = SCOPES.get(in.readUnsignedByte());
            boolean complete = in.readBoolean();
            Map<TargetKey, TokenWork> work = new HashMap<>();
            Map<TargetKey, WorkTimeReading> workTimes = new HashMap<>();
            while (in.available() > 0) {
                TargetKey key = new TargetKey(in.readInt());
                long prefill = (long) in.readUnsignedShort() * TOKEN_UNIT;
                long held = (long) in.readUnsignedShort() * TOKEN_UNIT;
                if (prefill > 0 || held > 0) {
                    work.put(key, new TokenWork(prefill, held));
                }
                int percent = in.readUnsignedByte() * PERCENT_UNIT;
                Duration age = Duration.ofMillis((long) in.readUnsignedByte() * AGE_UNIT_MS);
                if (percent != NO_READING) {
                    workTimes.put(key, new WorkTimeReading(percent, age));
                }
            }
            WorkReport report =
                    new WorkReport(incarnation, sequence, scope, complete, work, workTimes);
            return new WorkMessage(sender, domain, report);
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException("malformed work message: " + e.getMessage());
        }
    }
}
