package org.godwithoist.rollout.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.godwithoist.rollout.OrderId;
import org.godwithoist.rollout.Progress;
import org.godwithoist.rollout.RolloutState;
import org.godwithoist.rollout.fleet.RolloutReport;
import org.godwithoist.rollout.fleet.ServiceKey;
import org.godwithoist.rollout.fleet.Statement;
import org.godwithoist.targets.PeerLoads;

/** Encodes the report of one order. Ages are in milliseconds. */
public final class RolloutReportCodec {
    /** Bytes of a report besides its evidence, at most. */
    static final int MAX_HEAD_BYTES = 91;

    private static final List<PeerLoads.Scope> SCOPES = List.of(PeerLoads.Scope.values());
    private static final List<RolloutState> STATES = List.of(RolloutState.values());

    private RolloutReportCodec() {}

    /**
     * Writes a report.
     *
     * @param maxBytes bytes that it may take; latencies are left out if it would take more
     */
    public static void write(RolloutReport report, int maxBytes, DataOutputStream out)
            throws IOException {
        out.writeLong(report.service().hash());
        out.writeLong(report.order().era());
        out.writeLong(report.order().version());
        out.writeLong(report.incarnation());
        out.writeLong(report.sequence());
        out.writeByte(SCOPES.indexOf(report.scope()));
        out.writeLong(report.statement().term());
        out.writeLong(report.statement().number());
        writeAge(report.leaderAge(), out);
        writeAge(report.orderAge(), out);
        out.writeLong(report.progress().term());
        out.writeInt(report.progress().step());
        out.writeDouble(report.progress().share());
        out.writeByte(STATES.indexOf(report.progress().state()));
        EvidenceCodec.write(report.evidence().bounded(), maxBytes - MAX_HEAD_BYTES, out);
    }

    /**
     * Reads a report.
     *
     * @throws IOException if the bytes end early or a value is out of its range
     */
    public static RolloutReport read(DataInputStream in) throws IOException {
        try {
            return new RolloutReport(
                    new ServiceKey(in.readLong()),
                    new OrderId(in.readLong(), in.readLong()),
                    in.readLong(),
                    in.readLong(),
                    SCOPES.get(in.readUnsignedByte()),
                    new Statement(in.readLong(), in.readLong()),
                    readAge(in),
                    readAge(in),
                    new Progress(
                            in.readLong(),
                            in.readInt(),
                            in.readDouble(),
                            STATES.get(in.readUnsignedByte())),
                    EvidenceCodec.read(in));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException("malformed report: " + e.getMessage(), e);
        }
    }

    private static void writeAge(Duration age, DataOutputStream out) throws IOException {
        out.writeInt(Math.clamp(age.toMillis(), 0, Integer.MAX_VALUE));
    }

    private static Duration readAge(DataInputStream in) throws IOException {
        int ms = in.readInt();
        if (ms < 0) {
            throw new IOException("an age is negative: " + ms + " ms");
        }
        return Duration.ofMillis(ms);
    }
}
