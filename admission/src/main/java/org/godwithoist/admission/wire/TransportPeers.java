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
    private static final Duration BASE_RETENTION = Duration.ofSeconds(60);

    private static final Duration SWEEP_EVERY = Duration.ofSeconds(10);

    private record Key(HostId peer, ShardId shard) {}

    private final PeerTransport transport;
    private final Ticker ticker;
    private final Map<Key, HolderDeltaCodec> asHolder = new ConcurrentHashMap<>();
    private final Map<Key, OwnerDeltaCodec> asOwner = new ConcurrentHashMap<>();
    private final AtomicLong nextSweep;

    /** Creates the messages on a transport, with the system clock. */
    public TransportPeers(PeerTransport transport) {
        this(transport, Ticker.SYSTEM);
    }

    /**
     * Creates the messages on a transport.
     *
     * @param ticker clock by which unused baselines are removed
     */
    public TransportPeers(PeerTransport transport, Ticker ticker) {
        this.transport = transport;
        this.ticker = ticker;
        this.nextSweep = new AtomicLong(ticker.nanos() + SWEEP_EVERY.toNanos());
    }

    @Override
    public void serve(Handler handler) {
        transport.serve(EXCHANGE, (from, q) -> exchange(handler, from, q));
        transport.serve(
                PROMISE,
                (from, q) -> {
                    ShardId shard = ReportCodec.decode(q.getShard());
                    boolean promised = handler.promise(from, shard, q.getEpoch());
                    return PromiseResponse.newBuilder().setPromised(promised).build();
                });
        transport.serve(
                REQUEST_REPORT,
                (from, q) -> {
                    handler.requestReport(from, ReportCodec.decode(q.getShard()), q.getEpoch());
                    return RequestReportResponse.getDefaultInstance();
                });
    }

    private ExchangeSlotsResponse exchange(
            Handler handler, HostId from, ExchangeSlotsRequest request) {
        sweep();
        ExchangeSlotsResponse.Builder b = ExchangeSlotsResponse.newBuilder();
        for (ShardReport message : request.getReportsList()) {
            ReportDelta report = ReportCodec.decode(message, request.getIncarnation());
            OwnerDeltaCodec side =
                    asOwner.computeIfAbsent(
                            new Key(from, report.shard()), k -> new OwnerDeltaCodec(ticker));
            ResponseDelta answer =
                    side.exchange(report, full -> handler.exchange(from, List.of(full)).getFirst());
            b.addAnswers(ReportCodec.encode(answer));
        }
        return b.build();
    }

    private void sweep() {
        long now = ticker.nanos();
        long due = nextSweep.get();
        if (now - due < 0 || !nextSweep.compareAndSet(due, now + SWEEP_EVERY.toNanos())) {
            return;
        }
        long oldest = now - BASE_RETENTION.toNanos();
        asOwner.values().removeIf(d -> d.usedAt() - oldest < 0);
        asHolder.values().removeIf(d -> d.usedAt() - oldest < 0);
    }

    @Override
    public CompletableFuture<List<SlotReportResponse>> exchange(
            HostId owner, List<SlotReport> reports, Duration timeout) {
        sweep();
        ExchangeSlotsRequest.Builder b = ExchangeSlotsRequest.newBuilder();
        List<HolderDeltaCodec> sides = new ArrayList<>();
        for (SlotReport r : reports) {
            HolderDeltaCodec side =
                    asHolder.computeIfAbsent(
                            new Key(owner, r.shard()), k -> new HolderDeltaCodec(ticker));
            sides.add(side);
            b.setIncarnation(r.incarnation());
            b.addReports(ReportCodec.encode(side.encode(r)));
        }
        return transport
                .call(owner, EXCHANGE, b.build(), timeout)
                .thenApply(r -> answers(r, reports, sides));
    }

    private static List<SlotReportResponse> answers(
            ExchangeSlotsResponse response,
            List<SlotReport> reports,
            List<HolderDeltaCodec> sides) {
        List<SlotReportResponse> answers = new ArrayList<>();
        for (int i = 0; i < Math.min(reports.size(), response.getAnswersCount()); i++) {
            ResponseDelta answer = ReportCodec.decode(response.getAnswers(i));
            answers.add(sides.get(i).decode(reports.get(i), answer));
        }
        return answers;
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
                                                "no report request to %s", holder);
                                    }
                                });
    }
}
