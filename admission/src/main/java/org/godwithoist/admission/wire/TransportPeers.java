package org.godwithoist.admission.wire;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.admission.AdmissionPeers;
import org.godwithoist.admission.HolderDeltaCodec;
import org.godwithoist.admission.OwnerDeltaCodec;
import org.godwithoist.admission.ReportDelta;
import org.godwithoist.admission.ResponseDelta;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.SlotReport;
import org.godwithoist.admission.SlotReportResponse;
import org.godwithoist.admission.wire.generated.ExchangeSlotsRequest;
import org.godwithoist.admission.wire.generated.ExchangeSlotsResponse;
import org.godwithoist.admission.wire.generated.PromiseRequest;
import org.godwithoist.admission.wire.generated.PromiseResponse;
import org.godwithoist.admission.wire.generated.RequestReportRequest;
import org.godwithoist.admission.wire.generated.RequestReportResponse;
import org.godwithoist.admission.wire.generated.ShardReport;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.PeerTransport;

/**
 * Sends and receives admission messages over the transport between daemons. Keeps the delta codecs
 * for each peer and shard.
 */
public final class TransportPeers implements AdmissionPeers {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String SERVICE = "godwithoist.admission.Slots";

    private static final PeerTransport.Method<ExchangeSlotsRequest, ExchangeSlotsResponse>
            EXCHANGE =
                    new PeerTransport.Method<>(
                            SERVICE,
                            "Exchange",
                            ExchangeSlotsRequest.parser(),
                            ExchangeSlotsResponse.parser());
    private static final PeerTransport.Method<PromiseRequest, PromiseResponse> PROMISE =
            new PeerTransport.Method<>(
                    SERVICE, "Promise", PromiseRequest.parser(), PromiseResponse.parser());
    private static final PeerTransport.Method<RequestReportRequest, RequestReportResponse>
            REQUEST_REPORT =
                    new PeerTransport.Method<>(
                            SERVICE,
                            "RequestReport",
                            RequestReportRequest.parser(),
                            RequestReportResponse.parser());

    /** Time without a report after which a baseline is removed; the next report is complete. */
    private static final Duration BASELINE_RETENTION = Duration.ofSeconds(60);

    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(10);

    private record PeerShard(HostId peer, ShardId shard) {}

    private final PeerTransport transport;
    private final Ticker ticker;
    private final Map<PeerShard, HolderDeltaCodec> holderCodecs = new ConcurrentHashMap<>();
    private final Map<PeerShard, OwnerDeltaCodec> ownerCodecs = new ConcurrentHashMap<>();
    private final AtomicLong nextSweepAt;

    /** Creates an instance that uses the system clock. */
    public TransportPeers(PeerTransport transport) {
        this(transport, Ticker.SYSTEM);
    }

    /**
     * Creates an instance; {@link #serve} registers the message handlers.
     *
     * @param ticker clock by which unused baselines are removed
     */
    public TransportPeers(PeerTransport transport, Ticker ticker) {
        this.transport = transport;
        this.ticker = ticker;
        this.nextSweepAt = new AtomicLong(ticker.nanos() + SWEEP_INTERVAL.toNanos());
    }

    @Override
    public void serve(Handler handler) {
        transport.serve(EXCHANGE, (from, request) -> exchange(handler, from, request));
        transport.serve(
                PROMISE,
                (from, request) -> {
                    ShardId shard = ReportCodec.decode(request.getShard());
                    boolean promised = handler.promise(from, shard, request.getEpoch());
                    return PromiseResponse.newBuilder().setPromised(promised).build();
                });
        transport.serve(
                REQUEST_REPORT,
                (from, request) -> {
                    handler.requestReport(
                            from, ReportCodec.decode(request.getShard()), request.getEpoch());
                    return RequestReportResponse.getDefaultInstance();
                });
    }

    private ExchangeSlotsResponse exchange(
            Handler handler, HostId from, ExchangeSlotsRequest request) {
        removeUnusedCodecs();
        ExchangeSlotsResponse.Builder b = ExchangeSlotsResponse.newBuilder();
        for (ShardReport message : request.getReportsList()) {
            ReportDelta report = ReportCodec.decode(message, request.getIncarnation());
            OwnerDeltaCodec codec =
                    ownerCodecs.computeIfAbsent(
                            new PeerShard(from, report.shard()), k -> new OwnerDeltaCodec(ticker));
            ResponseDelta response =
                    codec.exchange(
                            report, full -> handler.exchange(from, List.of(full)).getFirst());
            b.addAnswers(ReportCodec.encode(response));
        }
        return b.build();
    }

    private void removeUnusedCodecs() {
        long now = ticker.nanos();
        long due = nextSweepAt.get();
        if (now - due < 0 || !nextSweepAt.compareAndSet(due, now + SWEEP_INTERVAL.toNanos())) {
            return;
        }
        long oldestRetained = now - BASELINE_RETENTION.toNanos();
        ownerCodecs.values().removeIf(codec -> codec.lastUsedAt() - oldestRetained < 0);
        holderCodecs.values().removeIf(codec -> codec.lastUsedAt() - oldestRetained < 0);
    }

    @Override
    public CompletableFuture<List<SlotReportResponse>> exchange(
            HostId owner, List<SlotReport> reports, Duration timeout) {
        removeUnusedCodecs();
        ExchangeSlotsRequest.Builder b = ExchangeSlotsRequest.newBuilder();
        List<HolderDeltaCodec> codecs = new ArrayList<>();
        for (SlotReport r : reports) {
            HolderDeltaCodec codec =
                    holderCodecs.computeIfAbsent(
                            new PeerShard(owner, r.shard()), k -> new HolderDeltaCodec(ticker));
            codecs.add(codec);
            b.setIncarnation(r.incarnation());
            b.addReports(ReportCodec.encode(codec.encode(r)));
        }
        return transport
                .call(owner, EXCHANGE, b.build(), timeout)
                .thenApply(r -> decodeResponses(r, reports, codecs));
    }

    private static List<SlotReportResponse> decodeResponses(
            ExchangeSlotsResponse message,
            List<SlotReport> reports,
            List<HolderDeltaCodec> codecs) {
        List<SlotReportResponse> responses = new ArrayList<>();
        for (int i = 0; i < Math.min(reports.size(), message.getAnswersCount()); i++) {
            ResponseDelta response = ReportCodec.decode(message.getAnswers(i));
            responses.add(codecs.get(i).decode(reports.get(i), response));
        }
        return responses;
    }

    @Override
    public CompletableFuture<Boolean> promise(
            HostId candidate, ShardId shard, long epoch, Duration timeout) {
        var request =
                PromiseRequest.newBuilder()
                        .setShard(ReportCodec.encode(shard))
                        .setEpoch(epoch)
                        .build();
        return transport
                .call(candidate, PROMISE, request, timeout)
                .thenApply(PromiseResponse::getPromised);
    }

    @Override
    public void requestReport(HostId holder, ShardId shard, long epoch, Duration timeout) {
        var request =
                RequestReportRequest.newBuilder()
                        .setShard(ReportCodec.encode(shard))
                        .setEpoch(epoch)
                        .build();
        var _ =
                transport
                        .call(holder, REQUEST_REPORT, request, timeout)
                        .whenComplete(
                                (r, e) -> {
                                    if (e != null) {
                                        LOG.atFine().withCause(e).log(
                                                "request for a slot report failed at holder %s",
                                                holder);
                                    }
                                });
    }
}
