package org.godwithoist.peers.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.ToIntFunction;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.peers.LoadMessage;
import org.godwithoist.peers.MalformedMessageException;
import org.godwithoist.targets.CachedPrefix;
import org.godwithoist.targets.LimitNews;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.RateLimit;
import org.godwithoist.targets.RejectionLimit;
import org.godwithoist.targets.TargetIncarnation;

/**
 * Encodes and decodes load messages: a version byte, the sender, its failure domain and
 * incarnation, the sequence number, the scope, the completeness flag, the leaving targets with the
 * times of their starts, the rate limits and the rejection limits of targets, the targets with
 * their request counts, and the cached prompt prefixes, each with the index of its target in the
 * list of targets. A message has the oldest version with fields for all that it contains, so that
 * daemons of an older build understand it while a fleet is replaced. Hand-written, because a
 * protobuf runtime would add about 1 MB to each daemon.
 */
final class LoadCodec {
    /** Maximum size of a message. */
    static final int MAX_BYTES = PeerCodec.MAX_BYTES;

    private static final int VERSION_WITHOUT_LEAVING = 1;
    private static final int VERSION_WITHOUT_RATES = 2;

    /** Leaves out {@link PeerCodec#EVIDENCE}, because both stand in the first byte of a message. */
    private static final int VERSION_WITHOUT_REJECTIONS = 4;

    private static final int VERSION = 5;

    /** Maximum size of the leaving targets; others follow in the next messages. */
    private static final int MAX_LEAVING_BYTES = 300;

    /** Maximum size of the limits of each kind; others follow in the next messages. */
    private static final int MAX_LIMITS_BYTES = 250;

    /** Maximum size of the header and the targets; the rest is reserved for cached prefixes. */
    private static final int MAX_TARGETS_BYTES = 900;

    /** Maximum size of a target entry: length, id and request count. */
    private static final int MAX_TARGET_ENTRY_BYTES = 2 + TargetId.MAX_LENGTH + 2;

    /** Maximum size of a leaving target: length, id and time of its start. */
    private static final int MAX_INCARNATION_BYTES = 2 + TargetId.MAX_LENGTH + 8;

    /** Maximum size of a limit: target, time of its start, limit and age. */
    private static final int MAX_LIMIT_BYTES = MAX_INCARNATION_BYTES + 4 + 2;

    /** Size of a cached prefix entry: index of the target and key. */
    private static final int CACHED_PREFIX_ENTRY_BYTES = 2 + 8;

    private static final int MAX_REQUEST_COUNT = 0xffff;
    private static final int MAX_AGE_MS = 0xffff;

    /** Encoded limit of a target whose limit has ended. */
    private static final int NO_LIMIT = 0;

    /** Scopes by their code in a message. */
    private static final List<PeerLoads.Scope> SCOPES =
            List.of(PeerLoads.Scope.OWN, PeerLoads.Scope.DOMAIN, PeerLoads.Scope.FLEET);

    private LoadCodec() {}

    /**
     * Encodes a message. If it exceeds {@link #MAX_BYTES}, the targets with the fewest requests and
     * the oldest cached prefixes are omitted; the following messages contain the others again.
     */
    static byte[] encode(LoadMessage message) throws IOException {
        PeerLoads.Report report = message.report();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        boolean hasLeaving = !report.leaving().isEmpty();
        boolean hasRates = !report.rateNews().isEmpty();
        boolean hasRejections = !report.rejectionNews().isEmpty();
        int version = version(hasLeaving, hasRates, hasRejections);
        out.writeByte(version);
        out.writeUTF(message.sender().value());
        out.writeUTF(message.domain().value());
        out.writeLong(report.incarnation());
        out.writeLong(report.sequence());
        out.writeByte(SCOPES.indexOf(report.scope()));
        out.writeBoolean(report.complete());
        if (version >= VERSION_WITHOUT_RATES) {
            writeLeaving(report.leaving(), out);
        }
        if (version >= VERSION_WITHOUT_REJECTIONS) {
            writeLimits(report.rateNews(), RateLimit::milliPerSecond, report.sequence(), out);
        }
        if (version >= VERSION) {
            writeLimits(
                    report.rejectionNews(),
                    LoadCodec::encodeRejectionLimit,
                    report.sequence(),
                    out);
        }
        Map<TargetId, Integer> indexes = writeTargets(report, bytes, out);
        for (int i = report.cachedPrefixes().size() - 1; i >= 0; i--) {
            CachedPrefix prefix = report.cachedPrefixes().get(i);
            Integer index = indexes.get(prefix.target());
            if (index != null && bytes.size() <= MAX_BYTES - CACHED_PREFIX_ENTRY_BYTES) {
                out.writeShort(index);
                out.writeLong(prefix.key().hash());
            }
        }
        return bytes.toByteArray();
    }

    /** Writes as many incarnations as fit; the order of a set varies between daemons. */
    private static void writeLeaving(Set<TargetIncarnation> leaving, DataOutputStream out)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream leavingOut = new DataOutputStream(bytes);
        int count = 0;
        for (TargetIncarnation i : leaving) {
            if (bytes.size() <= MAX_LEAVING_BYTES - MAX_INCARNATION_BYTES) {
                leavingOut.writeUTF(i.id().value());
                leavingOut.writeLong(i.startedAt());
                count++;
            }
        }
        out.writeByte(count);
        bytes.writeTo(out);
    }

    private static Set<TargetIncarnation> readLeaving(DataInputStream in) throws IOException {
        Set<TargetIncarnation> leaving = new HashSet<>();
        for (int remaining = in.readUnsignedByte(); remaining > 0; remaining--) {
            leaving.add(new TargetIncarnation(new TargetId(in.readUTF()), in.readLong()));
        }
        return leaving;
    }

    private static boolean isSupported(int version) {
        return version == VERSION
                || version == VERSION_WITHOUT_REJECTIONS
                || version == VERSION_WITHOUT_RATES
                || version == VERSION_WITHOUT_LEAVING;
    }

    private static int version(boolean hasLeaving, boolean hasRates, boolean hasRejections) {
        if (hasRejections) {
            return VERSION;
        }
        if (hasRates) {
            return VERSION_WITHOUT_REJECTIONS;
        }
        return hasLeaving ? VERSION_WITHOUT_RATES : VERSION_WITHOUT_LEAVING;
    }

    /**
     * Writes as many limits as fit, beginning with another one in each message.
     *
     * @param encode returns the code of a limit, which is not {@link #NO_LIMIT}
     */
    private static <L> void writeLimits(
            List<LimitNews<L>> news, ToIntFunction<L> encode, long sequence, DataOutputStream out)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream limitsOut = new DataOutputStream(bytes);
        int first = news.isEmpty() ? 0 : Math.floorMod(sequence, news.size());
        int count = 0;
        for (int i = 0; i < news.size(); i++) {
            LimitNews<L> n = news.get((first + i) % news.size());
            if (bytes.size() <= MAX_LIMITS_BYTES - MAX_LIMIT_BYTES) {
                limitsOut.writeUTF(n.target().id().value());
                limitsOut.writeLong(n.target().startedAt());
                limitsOut.writeInt(n.limit().map(encode::applyAsInt).orElse(NO_LIMIT));
                limitsOut.writeShort((int) Math.min(MAX_AGE_MS, n.age().toMillis()));
                count++;
            }
        }
        out.writeByte(count);
        bytes.writeTo(out);
    }

    private static <L> List<LimitNews<L>> readLimits(DataInputStream in, IntFunction<L> decode)
            throws IOException {
        List<LimitNews<L>> news = new ArrayList<>();
        for (int remaining = in.readUnsignedByte(); remaining > 0; remaining--) {
            TargetIncarnation target =
                    new TargetIncarnation(new TargetId(in.readUTF()), in.readLong());
            int code = in.readInt();
            Optional<L> limit =
                    code == NO_LIMIT ? Optional.empty() : Optional.of(decode.apply(code));
            news.add(new LimitNews<>(target, limit, Duration.ofMillis(in.readUnsignedShort())));
        }
        return news;
    }

    /** Returns a code that differs from {@link #NO_LIMIT} also if the limit is 0. */
    private static int encodeRejectionLimit(RejectionLimit limit) {
        return limit.perSecond() + 1;
    }

    private static RejectionLimit decodeRejectionLimit(int code) {
        return new RejectionLimit(code - 1);
    }

    private static Map<TargetId, Integer> writeTargets(
            PeerLoads.Report report, ByteArrayOutputStream bytes, DataOutputStream out)
            throws IOException {
        ByteArrayOutputStream targets = new ByteArrayOutputStream();
        DataOutputStream targetsOut = new DataOutputStream(targets);
        Map<TargetId, Integer> indexes = new HashMap<>();
        for (Map.Entry<TargetId, Integer> e : sortedByDescendingRequests(report)) {
            if (bytes.size() + targets.size() <= MAX_TARGETS_BYTES - MAX_TARGET_ENTRY_BYTES) {
                indexes.put(e.getKey(), indexes.size());
                targetsOut.writeUTF(e.getKey().value());
                targetsOut.writeShort(Math.clamp(e.getValue(), 0, MAX_REQUEST_COUNT));
            }
        }
        out.writeShort(indexes.size());
        targets.writeTo(out);
        return indexes;
    }

    private static List<Map.Entry<TargetId, Integer>> sortedByDescendingRequests(
            PeerLoads.Report report) {
        Map<TargetId, Integer> requestsByTarget = new HashMap<>(report.requests());
        report.cachedPrefixes().forEach(p -> requestsByTarget.putIfAbsent(p.target(), 0));
        Comparator<Map.Entry<TargetId, Integer>> byRequests = Map.Entry.comparingByValue();
        return requestsByTarget.entrySet().stream().sorted(byRequests.reversed()).toList();
    }

    /**
     * Decodes a message.
     *
     * @throws MalformedMessageException if the bytes are not a valid message of this version
     */
    static LoadMessage decode(byte[] bytes, int length) throws MalformedMessageException {
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, 0, length));
            int version = in.readUnsignedByte();
            if (!isSupported(version)) {
                throw new MalformedMessageException(
                        "load message version " + version + " is not supported");
            }
            HostId sender = new HostId(in.readUTF());
            FailureDomainId domain = new FailureDomainId(in.readUTF());
            long incarnation = in.readLong();
            long sequence = in.readLong();
            PeerLoads.Scope scope = SCOPES.get(in.readUnsignedByte());
            boolean complete = in.readBoolean();
            Set<TargetIncarnation> leaving =
                    version >= VERSION_WITHOUT_RATES ? readLeaving(in) : Set.of();
            List<LimitNews<RateLimit>> rateNews =
                    version >= VERSION_WITHOUT_REJECTIONS
                            ? readLimits(in, RateLimit::new)
                            : List.of();
            List<LimitNews<RejectionLimit>> rejectionNews =
                    version >= VERSION
                            ? readLimits(in, LoadCodec::decodeRejectionLimit)
                            : List.of();
            List<TargetId> targets = new ArrayList<>();
            Map<TargetId, Integer> requests = new HashMap<>();
            for (int remaining = in.readUnsignedShort(); remaining > 0; remaining--) {
                TargetId target = new TargetId(in.readUTF());
                targets.add(target);
                requests.put(target, in.readUnsignedShort());
            }
            List<CachedPrefix> cachedPrefixes = new ArrayList<>();
            while (in.available() > 0) {
                TargetId target = targets.get(in.readUnsignedShort());
                cachedPrefixes.add(new CachedPrefix(target, new PrefixKey(in.readLong())));
            }
            PeerLoads.Report report =
                    new PeerLoads.Report(
                            incarnation,
                            sequence,
                            scope,
                            complete,
                            requests,
                            cachedPrefixes,
                            leaving,
                            rateNews,
                            rejectionNews);
            return new LoadMessage(sender, domain, report);
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException("malformed load message: " + e.getMessage());
        }
    }
}
