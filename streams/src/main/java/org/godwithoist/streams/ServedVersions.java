package org.godwithoist.streams;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Which versions of a service have had targets lately: those that this daemon sees, and those that
 * the store has recorded from before its start. All times are of the ticker, in nanoseconds. Not
 * thread-safe.
 */
final class ServedVersions {
    /**
     * Time after its start in which a daemon may not know a target yet that others know. Until then
     * a version that it does not see has not left.
     */
    static final Duration DISCOVERY_TIME = Duration.ofSeconds(5);

    /** Earlier than any time of the ticker, far enough from overflow. */
    private static final long EVER = Long.MIN_VALUE / 2;

    /** Time on the store's clock in a record that stands for {@link #EVER}. */
    private static final long EVER_MS = 0;

    /** A row is not written again for a smaller difference of converted times. */
    private static final long CLOCK_TOLERANCE_MS = 1000;

    /** Maximum number of versions that others have reported; any process can send reports. */
    private static final int MAX_REPORTED = 100;

    private final long discoveredAt;
    private Set<StreamOrigin> present = Set.of();

    /** When each version lost the last target that this daemon saw. */
    private final Map<StreamOrigin, Long> leftAt = new HashMap<>();

    /** When each version last had targets, as the row or other daemons say. */
    private final Map<StreamOrigin, Long> reportedAt = new HashMap<>();

    /** Time from which on no version is missing. */
    private long coveredSince;

    private boolean rowRead;

    /** Time at which the last read of the row for a request was sent; empty before it. */
    private OptionalLong rowReadAt = OptionalLong.empty();

    /** Time at which the row must be compared with this; empty if it agrees. */
    private OptionalLong syncAt;

    /** Number of requests for a comparison; one that comes during a write is not done by it. */
    private long syncRequests;

    ServedVersions(long now) {
        discoveredAt = now + DISCOVERY_TIME.toNanos();
        coveredSince = now;
        syncAt = OptionalLong.of(now);
    }

    /** Replaces the versions that have targets; returns whether they have changed. */
    boolean setPresent(Set<StreamOrigin> versions, long now) {
        if (versions.equals(present)) {
            return false;
        }
        present.forEach(v -> leftAt.put(v, now));
        leftAt.keySet().removeAll(versions);
        reportedAt.keySet().removeAll(versions);
        present = Set.copyOf(versions);
        requestSync(now);
        return true;
    }

    /**
     * Records that changes may have been missed until now, so that only the row tells which
     * versions have served.
     */
    void changesMissed(long now) {
        coveredSince = now;
        rowRead = false;
    }

    /** Makes the row be compared with this, because the store may have lost it. */
    void requestSync(long now) {
        syncAt = OptionalLong.of(now);
        syncRequests++;
    }

    /** Returns how often a comparison with the row was requested. */
    long syncRequests() {
        return syncRequests;
    }

    /** Returns whether the row must be compared with this. */
    boolean isSyncDue(long now) {
        return syncAt.isPresent() && now - syncAt.getAsLong() >= 0;
    }

    /**
     * Records that the row agrees with what this was.
     *
     * @param requests value of {@link #syncRequests()} when the record was made
     */
    void synced(ServedRecord record, long requests) {
        if (requests != syncRequests) {
            return;
        }
        boolean mayBeMissing =
                record.untilMs().entrySet().stream()
                        .anyMatch(e -> e.getValue().isEmpty() && !present.contains(e.getKey()));
        syncAt = mayBeMissing ? OptionalLong.of(discoveredAt) : OptionalLong.empty();
    }

    /** Returns whether the row was read, which tells of the time before this daemon started. */
    boolean isRowRead() {
        return rowRead;
    }

    /**
     * Records that the row was read for a request.
     *
     * @param sentAt time at which the store was asked
     */
    void recordRowRead(long sentAt) {
        rowReadAt = OptionalLong.of(sentAt);
    }

    /** Returns whether the row was read for a request within a time. */
    boolean isRowReadWithin(Duration time, long now) {
        return rowReadAt.isPresent() && now - rowReadAt.getAsLong() <= time.toNanos();
    }

    /**
     * Returns the only version that has had targets within a time.
     *
     * @return empty if there were several, or if some may not be known
     */
    Optional<StreamOrigin> only(Duration time, long now) {
        boolean covered = rowRead && coveredSince <= now - time.toNanos();
        Set<StreamOrigin> recent = recent(time, now);
        return covered && recent.size() == 1
                ? Optional.of(recent.iterator().next())
                : Optional.empty();
    }

    /** Returns whether several versions are known to have had targets within a time. */
    boolean areSeveral(Duration time, long now) {
        return recent(time, now).size() > 1;
    }

    private Set<StreamOrigin> recent(Duration time, long now) {
        Set<StreamOrigin> recent = new HashSet<>(present);
        recent.addAll(absent(time, now).keySet());
        return recent;
    }

    /** Returns the versions without targets that had some within a time, and when. */
    private Map<StreamOrigin, Long> absent(Duration time, long now) {
        Map<StreamOrigin, Long> absent = new HashMap<>(reportedAt);
        leftAt.forEach((v, at) -> absent.merge(v, at, Math::max));
        absent.values().removeIf(at -> now - at > time.toNanos());
        return absent;
    }

    /** Returns for each version that has had targets within a time how long ago that was. */
    Map<StreamOrigin, Duration> ages(Duration time, long now) {
        Map<StreamOrigin, Duration> ages = new HashMap<>();
        absent(time, now).forEach((v, at) -> ages.put(v, Duration.ofNanos(now - at)));
        present.forEach(v -> ages.put(v, Duration.ZERO));
        return ages;
    }

    /**
     * Takes over what another daemon says of a version.
     *
     * @param servedAt time at which the version last had targets
     * @return whether the version was not known to this daemon
     */
    boolean report(StreamOrigin version, long servedAt) {
        if (present.contains(version)) {
            return false;
        }
        boolean isNew = !reportedAt.containsKey(version);
        if (isNew && reportedAt.size() >= MAX_REPORTED) {
            return false;
        }
        reportedAt.merge(version, servedAt, Math::max);
        return isNew && !leftAt.containsKey(version);
    }

    /** Removes the reports of versions that no longer count. */
    void removeExpiredReports(Duration time, long now) {
        reportedAt.values().removeIf(at -> now - at > time.toNanos());
    }

    /** Takes over what the row says of the time before this daemon started. */
    void adopt(ServedRow row, long now) {
        rowRead = true;
        if (row.version() == 0) {
            // All daemons write the row when they learn of the first target, so none has been used.
            coveredSince = EVER;
        }
        row.record().ifPresent(r -> adopt(r, row, now));
    }

    private void adopt(ServedRecord record, ServedRow row, long now) {
        record.untilMs()
                .forEach(
                        (v, until) -> {
                            if (!present.contains(v) && !leftAt.containsKey(v)) {
                                reportedAt.merge(v, servedAt(until, row, now), Math::max);
                            }
                        });
        if (record.era().equals(row.era())) {
            long since =
                    record.completeSinceMs() == EVER_MS
                            ? EVER
                            : ticks(record.completeSinceMs(), row, now);
            coveredSince = Math.min(coveredSince, since);
        }
    }

    private static long servedAt(OptionalLong untilMs, ServedRow row, long now) {
        return untilMs.isPresent() ? ticks(untilMs.getAsLong(), row, now) : now;
    }

    /** Converts a time on the store's clock. */
    private static long ticks(long storeMs, ServedRow row, long now) {
        return now - Duration.ofMillis(row.nowMs() - storeMs).toNanos();
    }

    /**
     * Returns what the row should say.
     *
     * @param row what it says, which was adopted
     * @param time versions that lost their last target longer ago are left out
     */
    ServedRecord next(ServedRow row, Duration time, long now) {
        Map<StreamOrigin, OptionalLong> until = new HashMap<>();
        present.forEach(v -> until.put(v, OptionalLong.empty()));
        absent(time, now).forEach((v, at) -> until.put(v, untilMs(v, at, row, now)));
        return new ServedRecord(row.era(), completeSinceMs(row, now), until);
    }

    /**
     * Returns when a version lost its last target; as the row says it, unless it was seen later.
     */
    private OptionalLong untilMs(StreamOrigin version, long servedAt, ServedRow row, long now) {
        Optional<OptionalLong> listed = row.record().map(r -> r.untilMs().get(version));
        long servedAtMs = storeMs(servedAt, row, now);
        boolean isListed =
                listed.filter(
                                u ->
                                        u.isPresent()
                                                && servedAtMs - u.getAsLong() <= CLOCK_TOLERANCE_MS)
                        .isPresent();
        if (isListed) {
            return listed.get();
        }
        boolean mayBeUnseen = !leftAt.containsKey(version) && now - discoveredAt < 0;
        return mayBeUnseen ? OptionalLong.empty() : OptionalLong.of(servedAtMs);
    }

    private static long storeMs(long ticks, ServedRow row, long now) {
        return Math.max(EVER_MS + 1, row.nowMs() - Duration.ofNanos(now - ticks).toMillis());
    }

    private long completeSinceMs(ServedRow row, long now) {
        long ownMs = coveredSince == EVER ? EVER_MS : storeMs(coveredSince, row, now);
        return row.record()
                .filter(r -> r.era().equals(row.era()))
                .map(ServedRecord::completeSinceMs)
                .filter(ms -> ms - CLOCK_TOLERANCE_MS <= ownMs)
                .orElse(ownMs);
    }
}
