package org.godwithoist.membership.wire;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.membership.HostEntryKey;
import org.godwithoist.membership.HostListCopy;
import org.godwithoist.membership.HostListMessage;
import org.godwithoist.membership.wire.generated.HostInfo;
import org.godwithoist.membership.wire.generated.HostKindCode;
import org.godwithoist.membership.wire.generated.HostListChanges;
import org.godwithoist.membership.wire.generated.HostListPage;
import org.godwithoist.membership.wire.generated.HostListRequest;
import org.godwithoist.membership.wire.generated.HostListResponse;
import org.godwithoist.membership.wire.generated.HostListUnchanged;
import org.godwithoist.membership.wire.generated.HostNameInfo;
import org.godwithoist.store.HostEntry;

/**
 * Encodes and decodes the pull of the host list. Decoding throws {@link IllegalArgumentException}
 * if a value is invalid.
 */
final class HostListCodec {
    /** A message with a higher age is treated as malformed; the age would overflow nanoseconds. */
    private static final long MAX_AGE_MS = Duration.ofDays(365).toMillis();

    private HostListCodec() {}

    // ---- requests

    static HostListRequest encode(HostListMessage.Request m) {
        var b = HostListRequest.newBuilder();
        m.baseDigest().ifPresent(b::setHeld);
        m.page().ifPresent(p -> b.setPageOf(p.digest()).setPageStart(p.start()));
        return b.build();
    }

    static HostListMessage.Request decode(HostListRequest m) {
        if (m.getPageStart() < 0) {
            throw new IllegalArgumentException(
                    "page start must not be negative, got " + m.getPageStart());
        }
        return m.hasPageOf()
                ? HostListMessage.Request.page(m.getPageOf(), m.getPageStart())
                : HostListMessage.Request.changesSince(
                        m.hasHeld() ? Optional.of(m.getHeld()) : Optional.empty());
    }

    // ---- responses

    static HostListResponse encode(HostListMessage.Response m) {
        var b =
                HostListResponse.newBuilder()
                        .setOldestMs(m.age().max().toMillis())
                        .setYoungestMs(m.age().min().toMillis());
        m.content().ifPresent(c -> encode(b, c));
        return b.build();
    }

    private static void encode(HostListResponse.Builder b, HostListMessage.Content content) {
        switch (content) {
            case HostListMessage.Unchanged u ->
                    b.setUnchanged(HostListUnchanged.getDefaultInstance());
            case HostListMessage.Changed c ->
                    b.setChanges(
                            HostListChanges.newBuilder()
                                    .setDigest(c.digest())
                                    .addAllChanged(infos(c.changes().changed()))
                                    .addAllRemoved(
                                            c.changes().removed().stream()
                                                    .map(HostListCodec::encode)
                                                    .toList()));
            case HostListMessage.Page p ->
                    b.setPage(
                            HostListPage.newBuilder()
                                    .setDigest(p.digest())
                                    .setStart(p.start())
                                    .setTotal(p.total())
                                    .addAllEntries(infos(p.entries())));
        }
    }

    static HostListMessage.Response decode(HostListResponse m) {
        long maxAgeMs = m.getOldestMs();
        long minAgeMs = m.getYoungestMs();
        if (minAgeMs < 0 || maxAgeMs < minAgeMs || maxAgeMs > MAX_AGE_MS) {
            throw new IllegalArgumentException(
                    "age of a host list must be a range within 365 days, got "
                            + minAgeMs
                            + " to "
                            + maxAgeMs
                            + " ms");
        }
        return new HostListMessage.Response(
                new HostListMessage.Age(Duration.ofMillis(maxAgeMs), Duration.ofMillis(minAgeMs)),
                content(m));
    }

    private static Optional<HostListMessage.Content> content(HostListResponse m) {
        return switch (m.getContentCase()) {
            case UNCHANGED -> Optional.of(new HostListMessage.Unchanged());
            case CHANGES -> Optional.of(decode(m.getChanges()));
            case PAGE -> Optional.of(decode(m.getPage()));
            case CONTENT_NOT_SET -> Optional.empty();
        };
    }

    private static HostListMessage.Changed decode(HostListChanges m) {
        return new HostListMessage.Changed(
                m.getDigest(),
                new HostListCopy.Changes(
                        entries(m.getChangedList()),
                        m.getRemovedList().stream().map(HostListCodec::decode).toList()));
    }

    private static HostListMessage.Page decode(HostListPage m) {
        return new HostListMessage.Page(
                m.getDigest(), m.getStart(), m.getTotal(), entries(m.getEntriesList()));
    }

    // ---- entries

    private static HostNameInfo encode(HostEntryKey key) {
        var b = HostNameInfo.newBuilder().setHost(key.host().value());
        key.target().ifPresent(t -> b.setTarget(t.value()));
        return b.build();
    }

    private static HostEntryKey decode(HostNameInfo n) {
        return new HostEntryKey(new HostId(n.getHost()), target(n.getTarget()));
    }

    private static Optional<TargetId> target(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(new TargetId(text));
    }

    private static List<HostInfo> infos(List<HostEntry> entries) {
        return entries.stream().map(HostListCodec::encode).toList();
    }

    private static List<HostEntry> entries(List<HostInfo> infos) {
        return infos.stream().map(HostListCodec::decode).toList();
    }

    private static HostInfo encode(HostEntry h) {
        var b =
                HostInfo.newBuilder()
                        .setHost(h.host().value())
                        .setKind(
                                switch (h.kind()) {
                                    case DAEMON -> HostKindCode.HOST_KIND_DAEMON;
                                    case ENGINE -> HostKindCode.HOST_KIND_ENGINE;
                                    case SERVICE -> HostKindCode.HOST_KIND_SERVICE;
                                })
                        .setFailureDomain(h.failureDomain().value())
                        .setAddress(h.address().toString())
                        .setLeaving(h.state() == HostEntry.State.LEAVING);
        h.target().ifPresent(t -> b.setTarget(t.value()));
        h.pool().ifPresent(p -> b.setPool(p.value()));
        return b.build();
    }

    private static HostEntry decode(HostInfo h) {
        HostEntry.Kind kind =
                switch (h.getKind()) {
                    case HOST_KIND_DAEMON -> HostEntry.Kind.DAEMON;
                    case HOST_KIND_ENGINE -> HostEntry.Kind.ENGINE;
                    case HOST_KIND_SERVICE -> HostEntry.Kind.SERVICE;
                    case HOST_KIND_UNSPECIFIED, UNRECOGNIZED ->
                            throw new IllegalArgumentException(
                                    "kind of a host entry must be daemon, engine or service");
                };
        Optional<TargetId> target = target(h.getTarget());
        Optional<PoolId> pool =
                h.getPool().isEmpty() ? Optional.empty() : Optional.of(new PoolId(h.getPool()));
        if (target.isPresent() != kind.isTarget() || pool.isPresent() != kind.isTarget()) {
            throw new IllegalArgumentException(
                    "host "
                            + h.getHost()
                            + " must have a target and a pool if it is an engine or a service,"
                            + " and neither if it is a daemon");
        }
        return new HostEntry(
                new HostId(h.getHost()),
                kind,
                target,
                pool,
                new FailureDomainId(h.getFailureDomain()),
                Endpoint.parse(h.getAddress()),
                h.getLeaving() ? HostEntry.State.LEAVING : HostEntry.State.LIVE);
    }
}
