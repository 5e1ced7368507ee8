package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;

/**
 * The targets that the store lists. Updates are synchronized; {@link #targets} takes no lock.
 *
 * <p>While the store is unavailable, entries expire although their targets run. They are listed
 * again within {@link #RELIST_GRACE} of the store's recovery, so entries that are missing then are
 * kept for that long and removed if they are still missing. They are used meanwhile only if most
 * entries of their service are missing: if this daemon alone had lost the store, the few that are
 * missing have left.
 */
public final class TargetDirectory {
    /** Time within which entries that expired in an outage are listed again. */
    static final Duration RELIST_GRACE = Duration.ofSeconds(2);

    private final Ticker ticker;
    private final Map<TargetId, Target> byId = new HashMap<>();

    /** Targets that the store stopped listing during the grace period and may list again. */
    private final Set<TargetId> missingIds = new HashSet<>();

    private final Map<ServiceId, ServiceSpeed> speeds = new HashMap<>();
    private volatile Map<ServiceId, List<Target>> byService = Map.of();
    private boolean initialListRead;
    private boolean storeDown;
    private boolean awaitingRelist;
    private long storeAvailableAt;
    private final LeavingTargets leavingTargets;
    private final DepartedTargets departedTargets;
    private final LimitObserver limitObserver;

    /** Creates a directory without targets, before the first list of the store. */
    public TargetDirectory(Ticker ticker) {
        this(ticker, LimitObserver.NONE);
    }

    /**
     * Creates a directory without targets, before the first list of the store.
     *
     * @param limitObserver receives the changes of the limits that targets state
     */
    public TargetDirectory(Ticker ticker, LimitObserver limitObserver) {
        this.ticker = ticker;
        this.limitObserver = limitObserver;
        leavingTargets = new LeavingTargets(ticker);
        departedTargets = new DepartedTargets(ticker);
    }

    /** Returns the targets of a service, in no particular order; empty if it has none. */
    public List<Target> targets(ServiceId service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the services that have targets. */
    public Set<ServiceId> services() {
        return Set.copyOf(byService.keySet());
    }

    /**
     * Returns the load report of this daemon for the other daemons.
     *
     * @param incarnation start time of this daemon
     * @param sequence increases with each report
     */
    public PeerLoads.Report report(long incarnation, long sequence) {
        Map<TargetId, Integer> requests = new HashMap<>();
        List<CachedPrefix> cachedPrefixes = new ArrayList<>();
        List<LimitNews<RateLimit>> rateNews = new ArrayList<>();
        List<LimitNews<RejectionLimit>> rejectionNews = new ArrayList<>();
        for (List<Target> targets : byService.values()) {
            for (Target t : targets) {
                int n = t.inFlight();
                if (n > 0) {
                    requests.put(t.id(), n);
                }
                cachedPrefixes.addAll(t.recentPrefixes());
                t.rateNews().ifPresent(rateNews::add);
                t.rejectionNews().ifPresent(rejectionNews::add);
            }
        }
        return new PeerLoads.Report(
                incarnation,
                sequence,
                PeerLoads.Scope.OWN,
                true,
                requests,
                cachedPrefixes,
                recentlyLeaving(),
                rateNews,
                rejectionNews);
    }

    private synchronized Set<TargetIncarnation> recentlyLeaving() {
        return leavingTargets.recent();
    }

    /**
     * Records that a target has announced in a response that it is leaving. It gets no new requests
     * of this daemon from now on, whatever the store lists, until another incarnation is listed.
     *
     * @return whether this daemon did not know it before
     */
    public synchronized boolean recordLeaving(Target target) {
        boolean isNews = !target.isLeaving();
        target.setLeaving();
        TargetIncarnation incarnation = target.entry().incarnation();
        if (incarnation.isKnown()) {
            leavingTargets.add(incarnation);
        }
        return isNews;
    }

    /** Records targets that have announced to other daemons that they are leaving. */
    public synchronized void recordPeerLeaving(Set<TargetIncarnation> incarnations) {
        for (TargetIncarnation i : incarnations) {
            if (i.isKnown() && leavingTargets.add(i)) {
                find(i.id())
                        .filter(t -> t.entry().incarnation().equals(i))
                        .ifPresent(Target::setLeaving);
            }
        }
    }

    /**
     * Announces the listed targets that are leaving once more, because another daemon has started
     * and knows nothing of earlier announcements.
     */
    public synchronized void announceLeavingAgain() {
        for (Target t : byId.values()) {
            TargetIncarnation incarnation = t.entry().incarnation();
            if (t.isLeaving() && incarnation.isKnown()) {
                leavingTargets.announceAgain(incarnation);
            }
        }
    }

    /**
     * Records what another daemon tells about rate limits. Unknown targets are ignored. News of an
     * incarnation whose start is unknown count for the listed one; if they are about an earlier
     * one, the next response corrects them.
     */
    public void recordRateNews(List<LimitNews<RateLimit>> news) {
        news.forEach(n -> find(n.target()).ifPresent(t -> t.limits().recordRateNews(n)));
    }

    /** Records what another daemon tells about rejection limits, like that about rate limits. */
    public void recordRejectionNews(List<LimitNews<RejectionLimit>> news) {
        news.forEach(n -> find(n.target()).ifPresent(t -> t.limits().recordRejectionNews(n)));
    }

    private Optional<Target> find(TargetIncarnation incarnation) {
        return find(incarnation.id())
                .filter(t -> !t.entry().incarnation().isKnownToDiffer(incarnation));
    }

    /**
     * Ends limits that no response has stated for a long time, and applies rejection limits to the
     * other targets of the service. To be called a few times a second.
     */
    public void updateLimits() {
        all().map(Target::limits).forEach(TargetLimits::expireRate);
        all().map(Target::limits).forEach(TargetLimits::expireRejectionLimit);
        byService.values().forEach(TargetDirectory::applyRejectionLimit);
    }

    /** Applies the limit that was stated last to the targets that have not stated any. */
    private static void applyRejectionLimit(List<Target> targets) {
        targets.stream()
                .flatMap(t -> t.rejectionNews().stream())
                .filter(news -> news.limit().isPresent())
                .min(Comparator.comparing(LimitNews::age))
                .ifPresent(news -> targets.forEach(t -> t.limits().inheritRejectionLimit(news)));
    }

    /** Returns the number of targets whose rejection limit is in force. */
    public long rejectionLimitedTargets() {
        return all().filter(t -> t.limits().rejections().isPresent()).count();
    }

    /** Returns the number of targets whose rate limit is in force. */
    public long rateLimitedTargets() {
        return all().filter(t -> t.limits().rate().isPresent()).count();
    }

    /** Returns the targets of all services. */
    Stream<Target> all() {
        return byService.values().stream().flatMap(List::stream);
    }

    /**
     * Records prefixes that engines have cached for another daemon. Unknown targets are ignored.
     */
    public void recordPeerCachedPrefixes(List<CachedPrefix> cachedPrefixes) {
        for (CachedPrefix p : cachedPrefixes) {
            find(p.target()).ifPresent(t -> t.recordPeerCachedPrefix(p.key()));
        }
    }

    /** Returns whether a target is listed, or kept because the store may list it again. */
    public boolean knows(TargetId id) {
        return find(id).isPresent();
    }

    private synchronized Optional<Target> find(TargetId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Records that the store is unavailable. */
    public synchronized void storeUnavailable() {
        storeDown = true;
    }

    /** Records that the store is available. */
    public synchronized void storeAvailable() {
        if (storeDown) {
            storeDown = false;
            awaitingRelist = true;
            storeAvailableAt = ticker.nanos();
        }
    }

    /** Replaces all known entries by those of the store. */
    public synchronized void replaceAll(Collection<TargetEntry> entries) {
        replaceEntries(departedTargets.withoutHeld(entries));
    }

    private void replaceEntries(Collection<TargetEntry> entries) {
        Set<TargetId> removedIds = new HashSet<>(byId.keySet());
        for (TargetEntry e : entries) {
            removedIds.remove(e.id());
            putEntry(e);
        }
        removedIds.forEach(this::removeOrAwaitRelist);
        initialListRead = true;
        publish();
    }

    /**
     * Replaces all known entries by those of a store that was restored from an older copy. Targets
     * that this daemon knows to have left or to be draining are not used again; targets that the
     * copy does not list may have registered since it was made, and are kept as after an outage.
     */
    public synchronized void replaceAllByRestored(Collection<TargetEntry> entries) {
        storeDown = false;
        awaitingRelist = true;
        storeAvailableAt = ticker.nanos();
        for (TargetEntry e : entries) {
            Target known = byId.get(e.id());
            if (known != null && known.entry().draining() && known.entry().sameIncarnation(e)) {
                known.setLeaving();
            }
        }
        replaceEntries(departedTargets.holdDeparted(entries));
    }

    /** Adds or updates an entry. */
    public synchronized void put(TargetEntry entry) {
        putEntry(entry);
        publish();
    }

    /** Removes an entry that the store no longer lists. */
    public synchronized void remove(TargetId id) {
        departedTargets.forgetHeld(id);
        removeOrAwaitRelist(id);
        publish();
    }

    /**
     * Removes entries that are still missing after an outage; in the next outage they are kept.
     * Uses targets that a restored store still lists although they had left. To be called a few
     * times a second.
     */
    public synchronized void removeMissing() {
        List<TargetEntry> released = departedTargets.takeReleased();
        if (!released.isEmpty()) {
            released.forEach(this::putEntry);
            publish();
        }
        if (!awaitingRelist || storeDown || inRelistGrace()) {
            return;
        }
        awaitingRelist = false;
        if (missingIds.isEmpty()) {
            return;
        }
        for (Iterator<TargetId> i = missingIds.iterator(); i.hasNext(); i.remove()) {
            removeTarget(i.next());
        }
        publish();
    }

    private boolean inRelistGrace() {
        return awaitingRelist && ticker.nanos() - storeAvailableAt < RELIST_GRACE.toNanos();
    }

    private void putEntry(TargetEntry entry) {
        missingIds.remove(entry.id());
        departedTargets.remove(entry.incarnation());
        Target known = byId.get(entry.id());
        if (known != null && known.entry().sameIncarnation(entry)) {
            known.update(entry);
            return;
        }
        if (known != null) {
            known.setRemoved(true);
        }
        ServiceSpeed speed = speeds.computeIfAbsent(entry.service(), s -> new ServiceSpeed());
        Target target = new Target(entry, !initialListRead, limitObserver, speed, ticker);
        if (leavingTargets.contains(entry.incarnation())) {
            target.setLeaving();
        }
        byId.put(entry.id(), target);
    }

    private void removeOrAwaitRelist(TargetId id) {
        Target known = byId.get(id);
        if (known == null) {
            return;
        }
        if (inRelistGrace() && !known.entry().draining()) {
            missingIds.add(id);
            return;
        }
        missingIds.remove(id);
        removeTarget(id);
    }

    private void removeTarget(TargetId id) {
        Target known = byId.remove(id);
        if (known != null) {
            departedTargets.add(known.entry().incarnation(), known.isGoingAway());
            known.setRemoved(true);
        }
    }

    private void publish() {
        Map<ServiceId, List<Target>> next = new HashMap<>();
        for (Target t : byId.values()) {
            next.computeIfAbsent(t.entry().service(), s -> new ArrayList<>()).add(t);
        }
        next.replaceAll((s, all) -> usable(all));
        // A target that has just started must not get a request before the limit applies to it.
        next.values().forEach(TargetDirectory::applyRejectionLimit);
        byService = next;
    }

    /** Returns the targets that are not missing, or all if fewer than half would be left. */
    private List<Target> usable(List<Target> all) {
        List<Target> listed = all.stream().filter(t -> !missingIds.contains(t.id())).toList();
        return 2 * listed.size() >= all.size() ? listed : List.copyOf(all);
    }
}
