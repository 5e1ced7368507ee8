package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;

/**
 * The targets that the store lists. Updates are synchronized; {@link #targets} takes no lock.
 *
 * <p>While the store is unavailable, entries expire although their targets run. They are listed
 * again within {@link #RETURN_TIME} of the store's recovery, so entries that are missing then are
 * kept for that long and removed if they are still missing.
 */
public final class TargetDirectory {
    /** Time within which entries that expired in an outage are listed again. */
    static final Duration RETURN_TIME = Duration.ofSeconds(2);

    private final Ticker ticker;
    private final Map<TargetId, Target> byId = new HashMap<>();
    private final Set<TargetId> missing = new HashSet<>();
    private volatile Map<ServiceId, List<Target>> byService = Map.of();
    private boolean listRead;
    private boolean away;
    private boolean returning;
    private long returnedAt;

    public TargetDirectory(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns the targets of a service, in no particular order; empty if it has none. */
    public List<Target> targets(ServiceId service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Returns the load report of this daemon for the other daemons.
     *
     * @param incarnation start of this daemon
     * @param sequence grows with each report
     */
    public PeerLoads.Report report(long incarnation, long sequence) {
        Map<TargetId, Integer> calls = new HashMap<>();
        List<PartsRead> reads = new ArrayList<>();
        for (List<Target> targets : byService.values()) {
            for (Target t : targets) {
                int n = t.inFlight();
                if (n > 0) {
                    calls.put(t.id(), n);
                }
                reads.addAll(t.newReads());
            }
        }
        return new PeerLoads.Report(incarnation, sequence, PeerLoads.Scope.OWN, true, calls, reads);
    }

    /**
     * Records prefixes that engines have cached for another daemon. Unknown targets are ignored.
     */
    public void readForPeer(List<PartsRead> reads) {
        for (PartsRead r : reads) {
            find(r.target()).ifPresent(t -> t.hasReadForPeer(r.key()));
        }
    }

    private synchronized Optional<Target> find(TargetId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Records that the store is unavailable. */
    public synchronized void storeAway() {
        away = true;
    }

    /** Records that the store is available. */
    public synchronized void storeAnswers() {
        if (away) {
            away = false;
            returning = true;
            returnedAt = ticker.nanos();
        }
    }

    /** Replaces all known entries by those of the store. */
    public synchronized void replaceAll(Collection<TargetEntry> entries) {
        Set<TargetId> unlisted = new HashSet<>(byId.keySet());
        for (TargetEntry e : entries) {
            unlisted.remove(e.id());
            putEntry(e);
        }
        unlisted.forEach(this::dropEntry);
        listRead = true;
        publish();
    }

    /** Adds or updates an entry. */
    public synchronized void put(TargetEntry entry) {
        putEntry(entry);
        publish();
    }

    /** Removes an entry that the store no longer lists. */
    public synchronized void remove(TargetId id) {
        dropEntry(id);
        publish();
    }

    /**
     * Removes entries that are still missing after an outage. To be called a few times a second.
     */
    public synchronized void dropMissing() {
        if (!returning || inReturnTime()) {
            return;
        }
        returning = false;
        if (missing.isEmpty()) {
            return;
        }
        for (Iterator<TargetId> i = missing.iterator(); i.hasNext(); i.remove()) {
            forget(i.next());
        }
        publish();
    }

    private boolean inReturnTime() {
        return returning && ticker.nanos() - returnedAt < RETURN_TIME.toNanos();
    }

    private void putEntry(TargetEntry entry) {
        missing.remove(entry.id());
        Target known = byId.get(entry.id());
        if (known != null && known.entry().sameIncarnation(entry)) {
            known.update(entry);
            return;
        }
        if (known != null) {
            known.gone(true);
        }
        byId.put(entry.id(), new Target(entry, !listRead, ticker));
    }

    private void dropEntry(TargetId id) {
        Target known = byId.get(id);
        if (known == null) {
            return;
        }
        if (inReturnTime() && !known.entry().leaving()) {
            missing.add(id);
            return;
        }
        missing.remove(id);
        forget(id);
    }

    private void forget(TargetId id) {
        Target known = byId.remove(id);
        if (known != null) {
            known.gone(true);
        }
    }

    private void publish() {
        Map<ServiceId, List<Target>> next = new HashMap<>();
        for (Target t : byId.values()) {
            next.computeIfAbsent(t.entry().service(), s -> new ArrayList<>()).add(t);
        }
        next.replaceAll((s, list) -> List.copyOf(list));
        byService = next;
    }
}
