package org.godwithoist.admission.wire;

import java.time.Duration;
import org.godwithoist.admission.HolderReport;
import org.godwithoist.admission.OwnerAnswer;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.wire.generated.Demand;
import org.godwithoist.admission.wire.generated.Grant;
import org.godwithoist.admission.wire.generated.Priority;
import org.godwithoist.admission.wire.generated.ReportStatus;
import org.godwithoist.admission.wire.generated.Shard;
import org.godwithoist.admission.wire.generated.ShardAnswer;
import org.godwithoist.admission.wire.generated.ShardReport;
import org.godwithoist.admission.wire.generated.Speed;
import org.godwithoist.admission.wire.generated.TargetNews;
import org.godwithoist.admission.wire.generated.TargetUse;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Converts reports and answers to messages and back. Decoding fails with {@link
 * IllegalArgumentException} if a message has an invalid id or an unknown constant.
 */
public final class ReportCodec {
    private static final long NANOS_PER_MICRO = 1_000;

    private ReportCodec() {}

    // ---- shards

    static Shard encode(ShardId s) {
        return Shard.newBuilder().setPool(s.pool().value()).setIndex(s.index()).build();
    }

    static ShardId decode(Shard s) {
        return new ShardId(new PoolId(s.getPool()), s.getIndex());
    }

    // ---- reports

    /** Returns the message of a report; the run of the holder goes into the request around it. */
    public static ShardReport encode(HolderReport r) {
        ShardReport.Builder b =
                ShardReport.newBuilder()
                        .setShard(encode(r.shard()))
                        .setEpoch(r.epoch())
                        .setSequence(r.sequence())
                        .setCertainFrom(r.certainFrom())
                        .setCertainTo(r.certainTo())
                        .setMinUse(r.minUse());
        r.uses().forEach(u -> b.addUses(encode(u)));
        r.demands().forEach(d -> b.addDemands(encode(d)));
        r.speeds().forEach(s -> b.addSpeeds(encode(s)));
        return b.build();
    }

    private static TargetUse encode(HolderReport.TargetUse u) {
        return TargetUse.newBuilder()
                .setTarget(u.target().value())
                .setInUse(u.inUse())
                .setUnused(u.unused())
                .setReservedInUse(u.reservedInUse())
                .setMinInUse(u.minInUse())
                .setReservedHeld(u.reservedHeld())
                .setGrown(u.grown())
                .setTargetIncarnation(u.targetIncarnation())
                .build();
    }

    private static Demand encode(HolderReport.Demand d) {
        return Demand.newBuilder()
                .setTarget(d.target().value())
                .setWorkspace(d.workspace().value())
                .setPriority(encode(d.priority()))
                .setCount(d.count())
                .setWaitedMs(d.waited().toMillis())
                .build();
    }

    private static Speed encode(HolderReport.Speed s) {
        return Speed.newBuilder()
                .setTarget(s.target().value())
                .setFirstTokenUs(s.firstToken().toNanos() / NANOS_PER_MICRO)
                .setTargetIncarnation(s.targetIncarnation())
                .build();
    }

    /** Returns the report of a message. */
    public static HolderReport decode(ShardReport r, long incarnation) {
        return new HolderReport(
                decode(r.getShard()),
                r.getEpoch(),
                incarnation,
                r.getSequence(),
                r.getCertainFrom(),
                r.getCertainTo(),
                count(r.getMinUse()),
                r.getUsesList().stream().map(ReportCodec::decode).toList(),
                r.getDemandsList().stream().map(ReportCodec::decode).toList(),
                r.getSpeedsList().stream().map(ReportCodec::decode).toList());
    }

    private static HolderReport.TargetUse decode(TargetUse u) {
        return new HolderReport.TargetUse(
                new TargetId(u.getTarget()),
                count(u.getInUse()),
                count(u.getUnused()),
                count(u.getReservedInUse()),
                count(u.getMinInUse()),
                count(u.getReservedHeld()),
                count(u.getGrown()),
                u.getTargetIncarnation());
    }

    private static HolderReport.Demand decode(Demand d) {
        return new HolderReport.Demand(
                new TargetId(d.getTarget()),
                new WorkspaceId(d.getWorkspace()),
                decode(d.getPriority()),
                count(d.getCount()),
                Duration.ofMillis(d.getWaitedMs()));
    }

    private static HolderReport.Speed decode(Speed s) {
        return new HolderReport.Speed(
                new TargetId(s.getTarget()),
                Duration.ofNanos(s.getFirstTokenUs() * NANOS_PER_MICRO),
                s.getTargetIncarnation());
    }

    /** Unsigned fields arrive as negative numbers if they are above 2^31 - 1. */
    private static int count(int value) {
        if (value < 0) {
            throw new IllegalArgumentException("a count is out of range");
        }
        return value;
    }

    // ---- answers

    /** Returns the message of an answer. */
    public static ShardAnswer encode(OwnerAnswer a) {
        ShardAnswer.Builder b =
                ShardAnswer.newBuilder()
                        .setShard(encode(a.shard()))
                        .setStatus(encode(a.status()))
                        .setEpoch(a.epoch())
                        .setStamp(a.stamp());
        a.grants().forEach(g -> b.addGrants(encode(g)));
        a.news().forEach(n -> b.addNews(encode(n)));
        return b.build();
    }

    private static Grant encode(OwnerAnswer.Grant g) {
        return Grant.newBuilder()
                .setTarget(g.target().value())
                .setWorkspace(g.workspace().value())
                .setPriority(encode(g.priority()))
                .setCount(g.count())
                .build();
    }

    private static TargetNews encode(OwnerAnswer.TargetNews n) {
        long waitMs = Math.min(Integer.MAX_VALUE, n.expectedWait().toMillis());
        return TargetNews.newBuilder()
                .setTarget(n.target().value())
                .setReservedOpen(n.reservedOpen())
                .setContended(n.contended())
                .setWaitMs((int) waitMs)
                .setGrown(n.grown())
                .setTargetIncarnation(n.targetIncarnation())
                .build();
    }

    /** Returns the answer of a message. */
    public static OwnerAnswer decode(ShardAnswer a) {
        return new OwnerAnswer(
                decode(a.getShard()),
                decode(a.getStatus()),
                a.getEpoch(),
                a.getStamp(),
                a.getGrantsList().stream().map(ReportCodec::decode).toList(),
                a.getNewsList().stream().map(ReportCodec::decode).toList());
    }

    private static OwnerAnswer.Grant decode(Grant g) {
        return new OwnerAnswer.Grant(
                new TargetId(g.getTarget()),
                new WorkspaceId(g.getWorkspace()),
                decode(g.getPriority()),
                count(g.getCount()));
    }

    private static OwnerAnswer.TargetNews decode(TargetNews n) {
        return new OwnerAnswer.TargetNews(
                new TargetId(n.getTarget()),
                n.getReservedOpen(),
                n.getContended(),
                Duration.ofMillis(count(n.getWaitMs())),
                count(n.getGrown()),
                n.getTargetIncarnation());
    }

    // ---- constants

    private static Priority encode(org.godwithoist.core.Priority p) {
        return switch (p) {
            case URGENT -> Priority.PRIORITY_URGENT;
            case INTERACTIVE -> Priority.PRIORITY_INTERACTIVE;
            case BACKGROUND -> Priority.PRIORITY_BACKGROUND;
        };
    }

    private static org.godwithoist.core.Priority decode(Priority p) {
        return switch (p) {
            case PRIORITY_URGENT -> org.godwithoist.core.Priority.URGENT;
            case PRIORITY_INTERACTIVE -> org.godwithoist.core.Priority.INTERACTIVE;
            case PRIORITY_BACKGROUND -> org.godwithoist.core.Priority.BACKGROUND;
            case UNRECOGNIZED -> throw new IllegalArgumentException("unknown priority");
        };
    }

    private static ReportStatus encode(OwnerAnswer.Status s) {
        return switch (s) {
            case TAKEN -> ReportStatus.REPORT_STATUS_TAKEN;
            case LAPSED -> ReportStatus.REPORT_STATUS_LAPSED;
            case STALE -> ReportStatus.REPORT_STATUS_STALE;
            case NOT_OWNER -> ReportStatus.REPORT_STATUS_NOT_OWNER;
        };
    }

    private static OwnerAnswer.Status decode(ReportStatus s) {
        return switch (s) {
            case REPORT_STATUS_TAKEN -> OwnerAnswer.Status.TAKEN;
            case REPORT_STATUS_LAPSED -> OwnerAnswer.Status.LAPSED;
            case REPORT_STATUS_STALE -> OwnerAnswer.Status.STALE;
            case REPORT_STATUS_NOT_OWNER -> OwnerAnswer.Status.NOT_OWNER;
            case REPORT_STATUS_UNSPECIFIED, UNRECOGNIZED ->
                    throw new IllegalArgumentException("unknown status");
        };
    }
}
