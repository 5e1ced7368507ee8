package org.godwithoist.accounting.wire;

import java.util.HashMap;
import java.util.Map;
import org.godwithoist.accounting.Attempt;
import org.godwithoist.accounting.ChainId;
import org.godwithoist.accounting.LogEntry;
import org.godwithoist.accounting.Registration;
import org.godwithoist.accounting.ReplicaClient.KnownUsage;
import org.godwithoist.accounting.UnsettledUsage;
import org.godwithoist.accounting.Usage;
import org.godwithoist.accounting.wire.generated.ChainName;
import org.godwithoist.accounting.wire.generated.ChainUse;
import org.godwithoist.accounting.wire.generated.LogEntryMessage;
import org.godwithoist.accounting.wire.generated.RegisterRequest;
import org.godwithoist.accounting.wire.generated.UnsettledResponse;
import org.godwithoist.accounting.wire.generated.UsageCount;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/** Converts between domain types and protobuf messages. */
final class UsageMessages {
    private static final Map<LogEntry.Kind, Integer> KIND_NUMBERS =
            Map.of(
                    LogEntry.Kind.OPENED, 1,
                    LogEntry.Kind.CLOSED, 2,
                    LogEntry.Kind.CANCELLED, 3);

    private UsageMessages() {}

    // ---- registration

    static RegisterRequest encode(Registration r) {
        var message =
                RegisterRequest.newBuilder()
                        .setIncarnation(r.chain().incarnation())
                        .setEpoch(r.epoch())
                        .setSnapshotEnd(r.snapshotEnd())
                        .setCompleteEpoch(r.completeEpoch())
                        .setSettledThrough(r.settledThrough())
                        .setHandOver(r.handOver());
        r.entries().forEach(e -> message.addEntries(encode(e)));
        r.owned().forEach(c -> message.addOwned(encode(c)));
        return message.build();
    }

    static Registration decode(HostId from, RegisterRequest m) {
        return new Registration(
                new ChainId(from, m.getIncarnation()),
                m.getEpoch(),
                m.getSnapshotEnd(),
                m.getCompleteEpoch(),
                m.getEntriesList().stream().map(UsageMessages::decode).toList(),
                m.getSettledThrough(),
                m.getHandOver(),
                m.getOwnedList().stream().map(UsageMessages::decode).toList());
    }

    private static LogEntryMessage encode(LogEntry e) {
        return LogEntryMessage.newBuilder()
                .setPosition(e.position())
                .setKind(KIND_NUMBERS.get(e.kind()))
                .setAttempt(e.attempt().id().value())
                .setWorkspace(e.attempt().workspace().value())
                .setTarget(e.attempt().target().value())
                .setOrdinal(e.ordinal())
                .setUsage(encode(e.usage()))
                .build();
    }

    private static LogEntry decode(LogEntryMessage m) {
        var attempt =
                new Attempt(
                        new RequestId(m.getAttempt()),
                        new WorkspaceId(m.getWorkspace()),
                        new TargetId(m.getTarget()));
        return new LogEntry(
                m.getPosition(), kind(m.getKind()), attempt, m.getOrdinal(), decode(m.getUsage()));
    }

    private static LogEntry.Kind kind(int number) {
        for (Map.Entry<LogEntry.Kind, Integer> e : KIND_NUMBERS.entrySet()) {
            if (e.getValue() == number) {
                return e.getKey();
            }
        }
        throw new IllegalArgumentException("the kind of a log entry must be 1 to 3, not " + number);
    }

    // ---- unsettled usage

    static UnsettledResponse encode(ChainId own, KnownUsage known) {
        var message = UnsettledResponse.newBuilder().setOwn(encode(own, known.own()));
        known.held().forEach((chain, usages) -> message.addHeld(encode(chain, usages)));
        return message.build();
    }

    static KnownUsage decode(UnsettledResponse m) {
        Map<ChainId, Map<WorkspaceId, UnsettledUsage>> held = new HashMap<>();
        m.getHeldList().forEach(c -> held.put(decode(c.getChain()), decode(c)));
        return new KnownUsage(decode(m.getOwn()), held);
    }

    private static ChainUse encode(ChainId chain, Map<WorkspaceId, UnsettledUsage> usages) {
        var message = ChainUse.newBuilder().setChain(encode(chain));
        usages.forEach(
                (w, u) ->
                        message.addUsesBuilder()
                                .setWorkspace(w.value())
                                .setCounted(encode(u.counted()))
                                .setOpen(u.open()));
        return message.build();
    }

    private static Map<WorkspaceId, UnsettledUsage> decode(ChainUse m) {
        Map<WorkspaceId, UnsettledUsage> usages = new HashMap<>();
        m.getUsesList()
                .forEach(
                        u ->
                                usages.put(
                                        new WorkspaceId(u.getWorkspace()),
                                        new UnsettledUsage(decode(u.getCounted()), u.getOpen())));
        return usages;
    }

    // ---- values

    private static ChainName encode(ChainId chain) {
        return ChainName.newBuilder()
                .setDaemon(chain.daemon().value())
                .setIncarnation(chain.incarnation())
                .build();
    }

    private static ChainId decode(ChainName m) {
        return new ChainId(new HostId(m.getDaemon()), m.getIncarnation());
    }

    private static UsageCount encode(Usage u) {
        return UsageCount.newBuilder()
                .setRequests(u.requests())
                .setPromptTokens(u.promptTokens())
                .setCachedTokens(u.cachedTokens())
                .setCompletionTokens(u.completionTokens())
                .build();
    }

    private static Usage decode(UsageCount m) {
        return new Usage(
                m.getRequests(), m.getPromptTokens(), m.getCachedTokens(), m.getCompletionTokens());
    }
}
