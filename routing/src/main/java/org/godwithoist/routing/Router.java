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
    private static final double MIN_FULL_WAIT_MS = 1;

    private final TargetDirectory directory;
    private final Admission admission;
    private final TargetCostModel costModel;
    private final Executor rebuildExecutor;
    private final Map<PoolId, PoolView> views = new ConcurrentHashMap<>();
    private final Set<PoolId> rebuilding = ConcurrentHashMap.newKeySet();

    /**
     * Targets of a pool as of one version of the directory.
     *
     * @param ranked targets in the order of the table's members, null where one is out of service;
     *     saves a lookup by id for each candidate, which dominates the time at many targets
     */
    private record PoolView(
            long version,
            Map<TargetId, Target> inService,
            Set<TargetId> listed,
            CandidateTable table,
            List<Target> ranked) {
        static PoolView of(
                long version,
                Map<TargetId, Target> inService,
                Set<TargetId> listed,
                CandidateTable table) {
            List<Target> ranked = new ArrayList<>(table.members().size());
            table.members().forEach(id -> ranked.add(inService.get(id)));
            return new PoolView(version, inService, listed, table, ranked);
        }

        /** Returns a candidate; null if it is out of service. */
        Target candidate(int index) {
            return ranked.get(index);
        }
    }

    /**
     * Creates a router that ranks each pool on its first use.
     *
     * @param rebuildExecutor runs the ranking of a changed pool, which takes up to a second at
     *     10,000 targets; meanwhile, decisions use the previous ranking without the removed targets
     */
    public Router(
            TargetDirectory directory,
            Admission admission,
            TargetCostModel costModel,
            Executor rebuildExecutor) {
        this.directory = directory;
        this.admission = admission;
        this.costModel = costModel;
        this.rebuildExecutor = rebuildExecutor;
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
        PoolView view = view(request.pool().id());
        Optional<Placement> placement = request.placement();
        long cached =
                placement
                        .map(p -> costModel.cachedTokens(p, request.pool().cacheTokens()))
                        .orElse(0L);
        cached = Math.min(cached, request.promptTokens());
        List<RouteOption> options = new ArrayList<>(CandidateTable.CANDIDATES_PER_BUCKET + 1);
        Target placedTarget = null;
        if (cached > 0) {
            placedTarget = inServiceTarget(view, request, placement.get().target());
            if (placedTarget != null) {
                RouteOption reuseOption =
                        option(request, placedTarget, CacheStrategy.REUSE, cached);
                options.add(reuseOption);
                if (reuseOption.waitMs() == 0) {
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
        for (int i = 0; i < CandidateTable.CANDIDATES_PER_BUCKET; i++) {
            int index = view.table().candidate(bucket, i);
            if (index < 0) {
                break;
            }
            Target target = view.candidate(index);
            if (target == null
                    || target.equals(placedTarget)
                    || request.excluded().contains(target.id())) {
                continue;
            }
            RouteOption prefillOption = option(request, target, CacheStrategy.PREFILL, 0);
            RouteOption importOption =
                    canExport
                            ? option(request, target, CacheStrategy.IMPORT, cached)
                            : prefillOption;
            RouteOption best =
                    importOption.costMs() < prefillOption.costMs() ? importOption : prefillOption;
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
        PoolView view = view(pool);
        List<Target> candidates = new ArrayList<>(CandidateTable.CANDIDATES_PER_BUCKET);
        for (int i = 0; i < CandidateTable.CANDIDATES_PER_BUCKET; i++) {
            int index = view.table().candidate(bucket(chat), i);
            Target t = index < 0 ? null : view.candidate(index);
            if (t != null) {
                candidates.add(t);
            }
        }
        return candidates;
    }

    // ---- parts of a decision

    private static int bucket(ChatId chat) {
        return CandidateTable.bucket(RendezvousHash.hash(chat.value()));
    }

    private static Target inServiceTarget(PoolView view, RouteRequest request, TargetId id) {
        return request.excluded().contains(id) ? null : view.inService().get(id);
    }

    private RouteOption option(
            RouteRequest request, Target target, CacheStrategy strategy, long cached) {
        double admissionMs = admission.expectedWait(target.id()).toNanos() / 1e6;
        boolean full = admissionMs > 0 || request.full().contains(target.id());
        double wait =
                full
                        ? Math.max(
                                MIN_FULL_WAIT_MS,
                                Math.max(admissionMs, costModel.waitMs(target.id())))
                        : 0;
        double cost =
                strategy.costMs(
                        wait,
                        costModel.prefillMs(target.id(), request.promptTokens()),
                        costModel.prefillMs(target.id(), request.promptTokens() - cached),
                        costModel.transferMs(cached));
        return new RouteOption(target, strategy, wait, cost);
    }

    // ---- views of the directory

    private PoolView view(PoolId pool) {
        PoolView view = views.get(pool);
        return view != null && view.version() == directory.version() ? view : refresh(pool);
    }

    private synchronized PoolView refresh(PoolId pool) {
        long version = directory.version();
        PoolView previous = views.get(pool);
        if (previous != null && previous.version() == version) {
            return previous;
        }
        Map<TargetId, Target> inService = new HashMap<>();
        List<TargetId> ids = new ArrayList<>();
        Set<TargetId> listed = new HashSet<>();
        for (Target t : directory.targets(pool)) {
            listed.add(t.id());
            if (t.serviceState().acceptsWork()) {
                inService.put(t.id(), t);
                ids.add(t.id());
            }
        }
        CandidateTable table =
                previous == null ? CandidateTable.empty().withMembers(ids) : previous.table();
        PoolView updated = PoolView.of(version, inService, listed, table);
        views.put(pool, updated);
        if (!table.members().equals(ids)) {
            removeUnlisted(previous, listed);
            if (rebuilding.add(pool)) {
                rebuildExecutor.execute(() -> rebuild(pool));
            }
            return views.get(pool);
        }
        return updated;
    }

    private void removeUnlisted(PoolView previous, Set<TargetId> listed) {
        if (previous == null) {
            return;
        }
        for (TargetId id : previous.table().members()) {
            if (!listed.contains(id)) {
                costModel.remove(id);
            }
        }
    }

    /**
     * Updates the ranking of a pool until it matches the targets in service, which may change while
     * it is computed.
     */
    private void rebuild(PoolId pool) {
        while (true) {
            PoolView view = views.get(pool);
            List<TargetId> ids = view.inService().keySet().stream().sorted().toList();
            CandidateTable table = view.table().withMembers(ids);
            synchronized (this) {
                PoolView current = views.get(pool);
                views.put(
                        pool,
                        PoolView.of(
                                current.version(), current.inService(), current.listed(), table));
                if (current.inService().keySet().equals(view.inService().keySet())) {
                    rebuilding.remove(pool);
                    return;
                }
            }
        }
    }
}
