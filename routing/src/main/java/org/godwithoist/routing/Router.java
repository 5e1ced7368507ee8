package org.godwithoist.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.godwithoist.admission.Admission;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;

/**
 * Chooses the target of a chat's next turn. A decision compares a fixed number of candidates, so
 * its time does not depend on the number of targets. Thread-safe.
 */
public final class Router {
    private static final Comparator<RouteOption> BY_COST =
            Comparator.comparingDouble(RouteOption::costMs);

    /**
     * Minimum wait assumed at a full target in milliseconds, so that it is never treated as free.
     */
    private static final double FULL_WAIT_MS = 1;

    private final TargetDirectory directory;
    private final Admission admission;
    private final TargetCostModel costModel;
    private final Executor rebuilds;
    private final Map<PoolId, View> views = new ConcurrentHashMap<>();
    private final Set<PoolId> rebuilding = ConcurrentHashMap.newKeySet();

    /**
     * Targets of a pool as of one version of the directory.
     *
     * @param ranked targets in the order of the table's members, null where one is out of service;
     *     saves a lookup by id for each candidate, which dominates the time at many targets
     */
    private record View(
            long version,
            Map<TargetId, Target> inService,
            Set<TargetId> listed,
            CandidateTable ring,
            List<Target> ranked) {
        static View of(
                long version,
                Map<TargetId, Target> inService,
                Set<TargetId> listed,
                CandidateTable ring) {
            List<Target> ranked = new ArrayList<>(ring.members().size());
            ring.members().forEach(id -> ranked.add(inService.get(id)));
            return new View(version, inService, listed, ring, ranked);
        }

        /** Returns a candidate; null if it is out of service. */
        Target candidate(int index) {
            return ranked.get(index);
        }
    }

    /**
     * Creates a router that ranks each pool on its first use.
     *
     * @param rebuilds runs the ranking of a changed pool, which takes up to a second at 10,000
     *     targets; meanwhile, decisions use the previous ranking without the removed targets
     */
    public Router(
            TargetDirectory directory,
            Admission admission,
            TargetCostModel costModel,
            Executor rebuilds) {
        this.directory = directory;
        this.admission = admission;
        this.costModel = costModel;
        this.rebuilds = rebuilds;
    }

    /** Returns the cost estimates of the targets. */
    public TargetCostModel costModel() {
        return costModel;
    }

    /**
     * Returns the options to serve a request, cheapest first; empty if no target of the pool is in
     * service. If the first choice has a free slot, it is the only option.
     */
    public List<RouteOption> choose(RouteRequest request) {
        View view = view(request.pool().id());
        Optional<Placement> placement = request.placement();
        long cached =
                placement
                        .map(p -> costModel.cachedTokens(p, request.pool().cacheTokens()))
                        .orElse(0L);
        cached = Math.min(cached, request.promptTokens());
        List<RouteOption> options = new ArrayList<>(CandidateTable.WIDTH + 1);
        Target home = null;
        if (cached > 0) {
            home = usable(view, request, placement.get().target());
            if (home != null) {
                RouteOption stay = option(request, home, CacheStrategy.REUSE, cached);
                options.add(stay);
                if (stay.waitMs() == 0) {
                    return options;
                }
            }
        }
        // A failed or leaving engine can still export the cache until it is removed from the list.
        boolean canExport =
                cached > 0
                        && !request.excluded().contains(placement.get().target())
                        && view.listed().contains(placement.get().target());
        int bucket = bucket(request.chat());
        for (int i = 0; i < CandidateTable.WIDTH; i++) {
            int index = view.ring().candidate(bucket, i);
            if (index < 0) {
                break;
            }
            Target t = view.candidate(index);
            if (t == null || t.equals(home) || request.excluded().contains(t.id())) {
                continue;
            }
            RouteOption fresh = option(request, t, CacheStrategy.PREFILL, 0);
            RouteOption moved =
                    canExport ? option(request, t, CacheStrategy.IMPORT, cached) : fresh;
            RouteOption best = moved.costMs() < fresh.costMs() ? moved : fresh;
            options.add(best);
            if (cached == 0 && options.size() == 1 && best.waitMs() == 0) {
                return options;
            }
        }
        options.sort(BY_COST);
        return options;
    }

    /**
     * Ranks a pool before its first request. The first ranking takes up to a second at 10,000
     * targets; later changes are ranked concurrently with decisions.
     */
    public void prepare(PoolId pool) {
        refresh(pool);
    }

    /**
     * Returns the candidates of a chat that are in service, most preferred first; for lookups that
     * query all of them.
     */
    public List<Target> preferred(PoolId pool, ChatId chat) {
        View view = view(pool);
        List<Target> list = new ArrayList<>(CandidateTable.WIDTH);
        for (int i = 0; i < CandidateTable.WIDTH; i++) {
            int index = view.ring().candidate(bucket(chat), i);
            Target t = index < 0 ? null : view.candidate(index);
            if (t != null) {
                list.add(t);
            }
        }
        return list;
    }

    // ---- parts of a decision

    private static int bucket(ChatId chat) {
        return CandidateTable.bucket(RendezvousHash.hash(chat.value()));
    }

    private static Target usable(View view, RouteRequest request, TargetId id) {
        return request.excluded().contains(id) ? null : view.inService().get(id);
    }

    private RouteOption option(RouteRequest r, Target t, CacheStrategy strategy, long cached) {
        double admissionMs = admission.expectedWait(t.id()).toNanos() / 1e6;
        boolean full = admissionMs > 0 || r.full().contains(t.id());
        double wait =
                full ? Math.max(FULL_WAIT_MS, Math.max(admissionMs, costModel.waitMs(t.id()))) : 0;
        double cost =
                strategy.costMs(
                        wait,
                        costModel.prefillMs(t.id(), r.promptTokens()),
                        costModel.prefillMs(t.id(), r.promptTokens() - cached),
                        costModel.moveMs(cached));
        return new RouteOption(t, strategy, wait, cost);
    }

    // ---- views of the directory

    private View view(PoolId pool) {
        View v = views.get(pool);
        return v != null && v.version() == directory.version() ? v : refresh(pool);
    }

    private synchronized View refresh(PoolId pool) {
        long version = directory.version();
        View old = views.get(pool);
        if (old != null && old.version() == version) {
            return old;
        }
        Map<TargetId, Target> inService = new HashMap<>();
        List<TargetId> ids = new ArrayList<>();
        Set<TargetId> listed = new HashSet<>();
        for (Target t : directory.targets(pool)) {
            listed.add(t.id());
            if (t.service().acceptsWork()) {
                inService.put(t.id(), t);
                ids.add(t.id());
            }
        }
        CandidateTable ring = old == null ? CandidateTable.empty().withMembers(ids) : old.ring();
        View fresh = View.of(version, inService, listed, ring);
        views.put(pool, fresh);
        if (!ring.members().equals(ids)) {
            forgetGone(old, listed);
            if (rebuilding.add(pool)) {
                rebuilds.execute(() -> rebuild(pool));
            }
            return views.get(pool);
        }
        return fresh;
    }

    private void forgetGone(View old, Set<TargetId> listed) {
        if (old == null) {
            return;
        }
        for (TargetId id : old.ring().members()) {
            if (!listed.contains(id)) {
                costModel.forget(id);
            }
        }
    }

    /** Updates the ranking of a pool until it matches the targets in service. */
    private void rebuild(PoolId pool) {
        while (true) {
            View v = views.get(pool);
            List<TargetId> ids = v.inService().keySet().stream().sorted().toList();
            CandidateTable ring = v.ring().withMembers(ids);
            synchronized (this) {
                View now = views.get(pool);
                views.put(pool, View.of(now.version(), now.inService(), now.listed(), ring));
                if (now.inService().keySet().equals(v.inService().keySet())) {
                    rebuilding.remove(pool);
                    return;
                }
            }
        }
    }
}
