package org.godwithoist.admission.wire;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.admission.AdmissionPeers;
import org.godwithoist.admission.HolderReport;
import org.godwithoist.admission.OwnerAnswer;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.wire.generated.ExchangeSlotsRequest;
import org.godwithoist.admission.wire.generated.ExchangeSlotsResponse;
import org.godwithoist.admission.wire.generated.PromiseRequest;
import org.godwithoist.admission.wire.generated.PromiseResponse;
import org.godwithoist.admission.wire.generated.RequestReportRequest;
import org.godwithoist.admission.wire.generated.RequestReportResponse;
import org.godwithoist.core.id.HostId;
import org.godwithoist.membership.PeerTransport;

/** Carries admission's messages over the transport between daemons. */
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

    private final PeerTransport transport;

    /** Makes the messages on a transport. */
    public TransportPeers(PeerTransport transport) {
        this.transport = transport;
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

    private static ExchangeSlotsResponse exchange(
            Handler handler, HostId from, ExchangeSlotsRequest request) {
        List<HolderReport> reports =
                request.getReportsList().stream()
                        .map(r -> ReportCodec.decode(r, request.getIncarnation()))
                        .toList();
        ExchangeSlotsResponse.Builder b = ExchangeSlotsResponse.newBuilder();
        handler.exchange(from, reports).forEach(a -> b.addAnswers(ReportCodec.encode(a)));
        return b.build();
    }

    @Override
    public CompletableFuture<List<OwnerAnswer>> exchange(
            HostId owner, List<HolderReport> reports, Duration timeout) {
        ExchangeSlotsRequest.Builder b = ExchangeSlotsRequest.newBuilder();
        for (HolderReport r : reports) {
            b.setIncarnation(r.incarnation());
            b.addReports(ReportCodec.encode(r));
        }
        return transport
                .call(owner, EXCHANGE, b.build(), timeout)
                .thenApply(r -> r.getAnswersList().stream().map(ReportCodec::decode).toList());
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
