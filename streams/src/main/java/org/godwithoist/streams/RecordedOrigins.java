package org.godwithoist.streams;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Signal;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.TargetEntry;

/**
 * The versions that began streams, as this daemon knows them or finds them in the store. A stream
 * whose beginning is not recorded began at the only version that has served for as long as a stream
 * may be taken up; if there were several, it is not known. Thread-safe.
 */
public final class RecordedOrigins implements StreamOrigins {
    /**
     * Shortest time for which a version counts that has lost its last target, since its streams may
     * still be taken up.
     */
    private static final Duration MIN_STREAM_LIFE = Duration.ofSeconds(30);

    /** Time after its caller's time limit for which a stream is remembered. */
    private static final Duration EXPIRY_MARGIN = Duration.ofSeconds(5);

    /** Time for which the row of a service shows that the store tells this daemon of versions. */
    private static final Duration ROW_LIFE = Duration.ofMillis(300);

    private final BegunStreams streams;
    private final OriginLookup lookup;
    private final BooleanSupplier hearsOfVersions;
    private final Ticker ticker;
    private final Signal versionChanges = new Signal();
    private final Map<ServiceId, ServedVersions> served = new HashMap<>();
    private final Map<OriginSource, LongAdder> found = new EnumMap<>(OriginSource.class);

    /** Longest time after which a stream of any daemon may be taken up. */
    private volatile Duration streamLife = MIN_STREAM_LIFE;

    /**
     * Creates an instance that knows no stream.
     *
     * @param clients clients of the store, used for the requests of callers only
     * @param hearsOfVersions whether this daemon would hear of a new version from other daemons
     *     now; if not, the store is asked
     */
    public RecordedOrigins(
            Collection<? extends OriginStore> clients,
            BooleanSupplier hearsOfVersions,
            EventLog log,
            Ticker ticker) {
        this.hearsOfVersions = hearsOfVersions;
        this.ticker = ticker;
        lookup = new OriginLookup(clients, log);
        streams = new BegunStreams(ticker);
        for (OriginSource s : OriginSource.values()) {
            found.put(s, new LongAdder());
        }
    }

    @Override
    public void began(StreamId stream, StreamOrigin origin, Duration timeLeft) {
        streams.add(stream, origin, life(timeLeft));
    }

    private Duration life(Duration timeLeft) {
        setLongestTimeLimit(timeLeft);
        return timeLeft.plus(EXPIRY_MARGIN);
    }

    /**
     * Sets the longest time limit of the requests of all routes, which the streams of other daemons
     * may have. A shorter one than before has no effect, since earlier streams have theirs.
     */
    public synchronized void setLongestTimeLimit(Duration limit) {
        streamLife = Durations.max(streamLife, limit.plus(EXPIRY_MARGIN));
    }

    @Override
    public Optional<StreamOrigin> find(StreamId stream, Duration timeLeft) {
        Optional<StreamOrigin> known = streams.find(stream);
        if (known.isPresent()) {
            return count(OriginSource.MEMORY, known);
        }
        Optional<StreamOrigin> only = onlyOrigin(stream.service());
        if (only.isPresent()) {
            streams.add(stream, only.get(), life(timeLeft));
            return count(OriginSource.ONLY_VERSION, only);
        }
        Optional<StreamOrigin> stored = lookup.find(stream);
        stored.ifPresent(o -> streams.remember(stream, o, life(timeLeft)));
        return count(stored.isPresent() ? OriginSource.STORE : OriginSource.UNKNOWN, stored);
    }

    private Optional<StreamOrigin> count(OriginSource source, Optional<StreamOrigin> origin) {
        found.get(source).increment();
        return origin;
    }

    @Override
    public Optional<StreamOrigin> onlyOrigin(ServiceId service) {
        if (!isRowRead(service)) {
            readRow(service, () -> !isRowRead(service));
        }
        if (only(service).isPresent() && !hearsOfVersions(service)) {
            readRow(service, () -> !hearsOfVersions(service));
        }
        return hearsOfVersions(service) ? only(service) : Optional.empty();
    }

    private synchronized Optional<StreamOrigin> only(ServiceId service) {
        return served(service).only(streamLife, ticker.nanos());
    }

    /** Returns whether this daemon would know of a new version that another daemon uses. */
    private boolean hearsOfVersions(ServiceId service) {
        return hearsOfVersions.getAsBoolean() || isRowRecent(service);
    }

    private synchronized boolean isRowRecent(ServiceId service) {
        return served(service).isRowReadWithin(ROW_LIFE, ticker.nanos());
    }

    /** Reads the row of a service, unless the request before has done so. */
    private void readRow(ServiceId service, BooleanSupplier needed) {
        lookup.read(
                store -> {
                    if (needed.getAsBoolean()) {
                        long sentAt = ticker.nanos();
                        adopt(service, store.readServed(service), sentAt);
                    }
                });
    }

    private synchronized boolean isRowRead(ServiceId service) {
        return served(service).isRowRead();
    }

    private synchronized void adopt(ServiceId service, ServedRow row, long sentAt) {
        served(service).adopt(row, ticker.nanos());
        served(service).recordRowRead(sentAt);
    }

    private ServedVersions served(ServiceId service) {
        return served.computeIfAbsent(service, s -> new ServedVersions(ticker.nanos()));
    }

    /** Replaces the targets of all services. */
    public synchronized void setTargets(Collection<TargetEntry> entries) {
        Map<ServiceId, Set<StreamOrigin>> present =
                entries.stream()
                        .collect(
                                Collectors.groupingBy(
                                        TargetEntry::service,
                                        Collectors.mapping(
                                                e -> new StreamOrigin(e.version()),
                                                Collectors.toSet())));
        long now = ticker.nanos();
        Set<ServiceId> all = new HashSet<>(served.keySet());
        all.addAll(present.keySet());
        boolean changed = false;
        for (ServiceId s : all) {
            changed |= served(s).setPresent(present.getOrDefault(s, Set.of()), now);
        }
        if (changed) {
            versionChanges.raise();
        }
    }

    /** Records that the store responds again, and that changes may have been missed before. */
    public synchronized void storeRegained() {
        long now = ticker.nanos();
        served.values().forEach(s -> s.changesMissed(now));
    }

    // ---- exchange with the other daemons

    /**
     * Waits until the versions of this daemon's targets change, or for a time.
     *
     * @return false if the task was interrupted and should end; its interrupt status is set
     */
    public boolean awaitVersionChange(Duration timeout) {
        return versionChanges.await(timeout);
    }

    /**
     * Returns what the other daemons need to know, which may be cut off from the store: the
     * versions of the services that have several.
     */
    public synchronized List<VersionSighting> sightings() {
        long now = ticker.nanos();
        List<VersionSighting> sightings = new ArrayList<>();
        served.forEach(
                (service, versions) -> {
                    versions.removeExpiredReports(streamLife, now);
                    if (versions.areSeveral(streamLife, now)) {
                        versions.ages(streamLife, now)
                                .forEach(
                                        (v, age) ->
                                                sightings.add(
                                                        new VersionSighting(service, v, age)));
                    }
                });
        return sightings;
    }

    /**
     * Adds what another daemon knows. A service of which this daemon knows no target is left out.
     *
     * @return whether the version was not known to this daemon
     */
    public synchronized boolean merge(VersionSighting sighting) {
        ServedVersions versions = served.get(sighting.service());
        if (versions == null || sighting.age().compareTo(streamLife) > 0) {
            return false;
        }
        return versions.report(sighting.version(), ticker.nanos() - sighting.age().toNanos());
    }

    /** Makes all rows be written again, because the store was restored from an older copy. */
    public synchronized void storeRestored() {
        streams.saveAgain();
        long now = ticker.nanos();
        served.values().forEach(s -> s.requestSync(now));
    }

    /** Returns how often the version that began a stream was found, or not, in each place. */
    public Map<OriginSource, Long> found() {
        Map<OriginSource, Long> counts = new EnumMap<>(OriginSource.class);
        found.forEach((source, count) -> counts.put(source, count.sum()));
        return counts;
    }

    /** Returns the number of streams that this daemon remembers. */
    public int remembered() {
        return streams.size();
    }

    // ---- for the task that writes the rows

    BegunStreams streams() {
        return streams;
    }

    /** Returns whether streams of a service must be written, because it has several versions. */
    synchronized boolean mustSave(ServiceId service) {
        ServedVersions versions = served.get(service);
        return versions != null && versions.areSeveral(streamLife, ticker.nanos());
    }

    /** Returns the services whose rows must be compared with what this daemon knows. */
    synchronized List<ServiceId> servicesToSync() {
        long now = ticker.nanos();
        return served.entrySet().stream()
                .filter(e -> e.getValue().isSyncDue(now))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Compares the row of a service with what this daemon knows, and writes it if it differs.
     *
     * @throws IOException if the store did not respond
     */
    void sync(ServiceId service, OriginStore store) throws IOException {
        ServedRow row = store.readServed(service);
        ServedRecord next;
        long requests;
        synchronized (this) {
            long now = ticker.nanos();
            ServedVersions versions = served(service);
            versions.adopt(row, now);
            next = versions.next(row, streamLife, now);
            requests = versions.syncRequests();
        }
        boolean agrees =
                row.record().equals(Optional.of(next))
                        || store.writeServed(service, next, row.version());
        if (agrees) {
            synchronized (this) {
                served(service).synced(next, requests);
            }
        }
    }
}
