package org.godwithoist.admission.wire;

import java.time.Duration;
import java.util.List;
import org.godwithoist.admission.HolderDeltaCodec;
import org.godwithoist.admission.OwnerDeltaCodec;
import org.godwithoist.admission.ReportDelta;
import org.godwithoist.admission.ResponseDelta;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.SlotReport;
import org.godwithoist.admission.SlotReportResponse;
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
import org.godwithoist.core.time.Ticker;

/**
 * Converts reports and responses to protobuf messages and back. Decoding fails with {@link
 * IllegalArgumentException} if a message has an invalid id, an unknown enum value or a count above
 * 2^31 - 1.
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

    /** Encodes a complete report, without a baseline. */
    public static ShardReport encode(SlotReport report) {
        return encode(new HolderDeltaCodec(Ticker.SYSTEM).encode(report));
    }

    /** Encodes a report without the run of the holder, which is part of the enclosing request. */
    public static ShardReport encode(ReportDelta report) {
        ShardReport.Builder b =
                ShardReport.newBuilder()
                        .setShard(encode(report.shard()))
                        .setEpoch(report.epoch())
                        .setSequence(report.sequence())
                        .setBaseDistance(
                                report.baselineSequence() == 0
                                        ? 0
                                        : report.sequence() - report.baselineSequence())
                        .setCertainFrom(report.minIntervalStart())
                        .setCertainTo(report.minIntervalEnd())
                        .setMinUse(report.minTotalInUse())
                        .addAllNames(report.names())
                        .addAllEnded(report.ended());
        report.uses().forEach(u -> b.addUses(encode(u)));
        report.demands().forEach(d -> b.addDemands(encode(d)));
        report.latencySamples().forEach(s -> b.addSpeeds(encode(s)));
        return b.build();
    }

    private static TargetUse encode(ReportDelta.Use u) {
        return TargetUse.newBuilder()
                .setTarget(u.target())
                .setInUse(u.inUse())
                .setUnused(u.unused())
                .setReservedInUse(u.reservedInUse())
                .setMinInUse(u.minInUse())
                .setReservedHeld(u.reservedHeld())
                .setGrown(u.warmUpLimit())
                .setTargetIncarnation(u.targetIncarnation())
                .build();
    }

    private static Demand encode(ReportDelta.Demand d) {
        return Demand.newBuilder()
                .setTarget(d.target())
                .setWorkspace(d.workspace())
                .setPriority(encode(d.priority()))
                .setCount(d.count())
                .setWaitedMs(d.oldestWait().toMillis())
                .build();
    }

    private static Speed encode(ReportDelta.LatencySample s) {
        return Speed.newBuilder()
                .setTarget(s.target())
                .setFirstTokenUs(s.timeToFirstToken().toNanos() / NANOS_PER_MICRO)
                .setTargetIncarnation(s.targetIncarnation())
                .build();
    }

    /**
     * Decodes a report.
     *
     * @param incarnation run of the holder from the enclosing request
     */
    public static ReportDelta decode(ShardReport message, long incarnation) {
        long distance = message.getBaseDistance();
        return new ReportDelta(
                decode(message.getShard()),
                message.getEpoch(),
                incarnation,
                message.getSequence(),
                distance == 0 ? 0 : message.getSequence() - distance,
                message.getCertainFrom(),
                message.getCertainTo(),
                message.getMinUse(),
                message.getNamesList(),
                message.getUsesList().stream().map(ReportCodec::decode).toList(),
                message.getEndedList(),
                message.getDemandsList().stream().map(ReportCodec::decode).toList(),
                message.getSpeedsList().stream().map(ReportCodec::decode).toList());
    }

    private static ReportDelta.Use decode(TargetUse u) {
        return new ReportDelta.Use(
                u.getTarget(),
                count(u.getInUse()),
                count(u.getUnused()),
                count(u.getReservedInUse()),
                count(u.getMinInUse()),
                count(u.getReservedHeld()),
                count(u.getGrown()),
                u.getTargetIncarnation());
    }

    private static ReportDelta.Demand decode(Demand d) {
        return new ReportDelta.Demand(
                d.getTarget(),
                d.getWorkspace(),
                decode(d.getPriority()),
                count(d.getCount()),
                Duration.ofMillis(d.getWaitedMs()));
    }

    private static ReportDelta.LatencySample decode(Speed s) {
        return new ReportDelta.LatencySample(
                s.getTarget(),
                Duration.ofNanos(s.getFirstTokenUs() * NANOS_PER_MICRO),
                s.getTargetIncarnation());
    }

    /** Protobuf represents unsigned values above 2^31 - 1 as negative numbers. */
    private static int count(int value) {
        if (value < 0) {
            throw new IllegalArgumentException("a count in the message exceeds 2^31 - 1");
        }
        return value;
    }

    // ---- responses

    /** Encodes a complete response, without a baseline. */
    public static ShardAnswer encode(SlotReportResponse response) {
        var emptyReport =
                new SlotReport(
                        response.shard(),
                        response.epoch(),
                        0,
                        0,
                        0,
                        0,
                        0,
                        List.of(),
                        List.of(),
                        List.of());
        ReportDelta report = new HolderDeltaCodec(Ticker.SYSTEM).encode(emptyReport);
        return encode(new OwnerDeltaCodec(Ticker.SYSTEM).exchange(report, _ -> response));
    }

    /** Encodes a response. */
    public static ShardAnswer encode(ResponseDelta response) {
        ShardAnswer.Builder b =
                ShardAnswer.newBuilder()
                        .setStatus(encode(response.status()))
                        .setEpoch(response.epoch())
                        .setStamp(response.ownerTimestamp())
                        .setFull(response.full())
                        .addAllNames(response.names())
                        .addAllGone(response.removed());
        response.grants().forEach(g -> b.addGrants(encode(g)));
        response.targetStatuses().forEach(s -> b.addNews(encode(s)));
        return b.build();
    }

    private static Grant encode(ResponseDelta.Grant g) {
        return Grant.newBuilder()
                .setTarget(g.target())
                .setWorkspace(g.workspace())
                .setPriority(encode(g.priority()))
                .setCount(g.count())
                .build();
    }

    private static TargetNews encode(ResponseDelta.TargetStatus status) {
        long waitMs = Math.min(Integer.MAX_VALUE, status.expectedWait().toMillis());
        return TargetNews.newBuilder()
                .setTarget(status.target())
                .setReservedOpen(status.reservedOpen())
                .setContended(status.contended())
                .setWaitMs((int) waitMs)
                .setGrown(status.warmUpLimit())
                .setTargetIncarnation(status.targetIncarnation())
                .build();
    }

    /** Decodes a response. */
    public static ResponseDelta decode(ShardAnswer message) {
        return new ResponseDelta(
                decode(message.getStatus()),
                message.getEpoch(),
                message.getStamp(),
                message.getFull(),
                message.getNamesList(),
                message.getGrantsList().stream().map(ReportCodec::decode).toList(),
                message.getNewsList().stream().map(ReportCodec::decode).toList(),
                message.getGoneList());
    }

    private static ResponseDelta.Grant decode(Grant g) {
        return new ResponseDelta.Grant(
                g.getTarget(), g.getWorkspace(), decode(g.getPriority()), count(g.getCount()));
    }

    private static ResponseDelta.TargetStatus decode(TargetNews message) {
        return new ResponseDelta.TargetStatus(
                message.getTarget(),
                message.getReservedOpen(),
                message.getContended(),
                Duration.ofMillis(count(message.getWaitMs())),
                count(message.getGrown()),
                message.getTargetIncarnation());
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
            case UNRECOGNIZED ->
                    throw new IllegalArgumentException(
                            "unknown priority; expected urgent, interactive or background");
        };
    }

    private static ReportStatus encode(SlotReportResponse.Status s) {
        return switch (s) {
            case ACCEPTED -> ReportStatus.REPORT_STATUS_TAKEN;
            case LEASE_EXPIRED -> ReportStatus.REPORT_STATUS_LAPSED;
            case STALE -> ReportStatus.REPORT_STATUS_STALE;
            case NOT_OWNER -> ReportStatus.REPORT_STATUS_NOT_OWNER;
            case UNKNOWN_BASELINE -> ReportStatus.REPORT_STATUS_BASE_UNKNOWN;
        };
    }

    private static SlotReportResponse.Status decode(ReportStatus s) {
        return switch (s) {
            case REPORT_STATUS_TAKEN -> SlotReportResponse.Status.ACCEPTED;
            case REPORT_STATUS_LAPSED -> SlotReportResponse.Status.LEASE_EXPIRED;
            case REPORT_STATUS_STALE -> SlotReportResponse.Status.STALE;
            case REPORT_STATUS_NOT_OWNER -> SlotReportResponse.Status.NOT_OWNER;
            case REPORT_STATUS_BASE_UNKNOWN -> SlotReportResponse.Status.UNKNOWN_BASELINE;
            case REPORT_STATUS_UNSPECIFIED, UNRECOGNIZED ->
                    throw new IllegalArgumentException(
                            "the response to a slot report has no status, or an unknown one");
        };
    }
}
