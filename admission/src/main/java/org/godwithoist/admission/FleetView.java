package org.godwithoist.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;

/**
 * View of the bundle, the members, the targets and their load reports for one shard. {@link
 * #refresh()} recomputes the expensive parts several times per second.
 */
final class FleetView implements SlotPolicy {
    private static final int MAX_CANDIDATES = 3;

    /** Load reports above this age are not representative of the current load. */
    private static final long MAX_LOAD_REPORT_AGE_NANOS = 3_000_000_000L;

    private final ShardId shard;
    private final Supplier<Bundle> bundle;
    private final MemberDirectory members;
    private final TargetDirectory directory;
    private final TargetIndex targetIndex;
    private final TargetLoadReports loads;
    private final Ticker ticker;
    private volatile Map<TargetId, Integer> reserved = Map.of();

    FleetView(
            ShardId shard,
            Supplier<Bundle> bundle,
            MemberDirectory members,
            TargetDirectory directory,
            TargetIndex targetIndex,
            TargetLoadReports loads,
            Ticker ticker) {
        this.shard = shard;
        this.bundle = bundle;
        this.members = members;
        this.directory = directory;
        this.targetIndex = targetIndex;
        this.loads = loads;
        this.ticker = ticker;
        refresh();
    }

    /** Recomputes the reserved slots of this daemon. */
    void refresh() {
        AdmissionLimits limits = limits();
        // The limit of a cold target may leave room for its reserved slots only. If unresponsive
        // members kept theirs, a target whose holders are down would get no work and stay cold.
        Set<HostId> hosts =
                memberHosts().stream()
                        .filter(h -> !members.isUnresponsive(h))
                        .collect(Collectors.toSet());
        HostId self = members.self().host();
        hosts.add(self);
        Map<TargetId, Integer> held = new HashMap<>();
        for (Target t : targets()) {
            List<HostId> ranked = ShardId.rank("reserved|" + t.id().value(), hosts);
            int holders = Math.min(limits.reservedHolders(), ranked.size());
            if (ranked.subList(0, holders).contains(self)) {
                held.put(t.id(), limits.reservedSlots());
            }
        }
        reserved = held;
    }

    private Optional<Pool> pool() {
        return Optional.ofNullable(bundle.get().pools().get(shard.pool()));
    }

    private AdmissionLimits limits() {
        return pool().map(Pool::limits).orElse(AdmissionLimits.DEFAULT);
    }

    private List<Target> targets() {
        Optional<Pool> pool = pool();
        if (pool.isEmpty()) {
            return List.of();
        }
        return directory.targets(shard.pool()).stream()
                .filter(t -> ShardId.of(pool.get(), t.id()).equals(shard))
                .toList();
    }

    private Set<HostId> memberHosts() {
        return members.members().stream().map(Member::host).collect(Collectors.toSet());
    }

    // ---- view of the owner

    ShardView shardView() {
        boolean engines = pool().map(p -> p.kind() == Pool.Kind.ENGINE).orElse(true);
        return new ShardView(
                limits(),
                engines,
                targets(),
                memberHosts(),
                members::isUnresponsive,
                this::share,
                loads);
    }

    /**
     * Returns the members in contact whose current run has not reported to the owner. A daemon that
     * started during a store outage has no other way to find the owner.
     */
    Set<HostId> unreportedMembers(SlotLedger ledger) {
        return members.members().stream()
                .filter(m -> !ledger.hasReport(m.host(), m.incarnation()))
                .map(Member::host)
                .filter(members::inContactWith)
                .collect(Collectors.toSet());
    }

    private int share(WorkspaceId workspace) {
        var w = bundle.get().workspaces().get(workspace);
        return w == null ? 1 : w.share();
    }

    // ---- view of the lease

    /** Returns the rank of this daemon for the shard among the members in contact, from 0. */
    int rank() {
        return shard.rank(reachableHosts()).indexOf(members.self().host());
    }

    private Set<HostId> reachableHosts() {
        Set<HostId> hosts = new HashSet<>();
        for (HostId h : memberHosts()) {
            if (members.inContactWith(h)) {
                hosts.add(h);
            }
        }
        hosts.add(members.self().host());
        return hosts;
    }

    /**
     * Returns this daemon and up to two others in contact, from different failure domains if
     * possible.
     */
    List<HostId> candidates() {
        List<HostId> chosen = new ArrayList<>(List.of(members.self().host()));
        Set<FailureDomainId> domains = new HashSet<>(Set.of(members.self().failureDomain()));
        List<HostId> others = new ArrayList<>(shard.rank(reachableHosts()));
        others.remove(members.self().host());
        for (HostId h : others) {
            Optional<FailureDomainId> domain = members.find(h).map(Member::failureDomain);
            if (chosen.size() < MAX_CANDIDATES && domain.isPresent() && domains.add(domain.get())) {
                chosen.add(h);
            }
        }
        for (HostId h : others) {
            if (chosen.size() < MAX_CANDIDATES && !chosen.contains(h)) {
                chosen.add(h);
            }
        }
        return chosen;
    }

    // ---- view of the holder

    @Override
    public boolean acceptsWork(TargetId target) {
        return targetIndex.acceptsWork(target);
    }

    @Override
    public int reservedHeld(TargetId target) {
        return reserved.getOrDefault(target, 0);
    }

    @Override
    public boolean inContactWithAll() {
        return members.inContactWithAll();
    }

    @Override
    public boolean reservedFitWithoutOwner(TargetId target, long since) {
        AdmissionLimits limits = limits();
        int coldLimit = Math.min(limits.skewFloor(), limits.coldStartLimit());
        Optional<TargetLoadReport> load = loads.latest(target);
        return load.isPresent()
                && load.get().modelLoaded()
                && load.get().sampledAt() - since > 0
                && ticker.nanos() - load.get().sampledAt() < MAX_LOAD_REPORT_AGE_NANOS
                && load.get().accepted() + limits.reservedTotal() <= coldLimit;
    }
}
