package org.godwithoist.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;

/**
 * View of one daemon on the lease of a shard: renewal, takeover, promises and release. Decides what
 * to write and when; the caller performs the writes and reports their results. Not thread-safe.
 */
public final class ShardLease {
    /** Role of this daemon for the shard. */
    private enum Role {
        /** Another daemon owns the shard, or there is no owner. */
        OBSERVER,
        /** The last record was written by this run of this daemon. */
        OWNER,
        /** This daemon is releasing the shard and grants no slots. */
        RELEASING;

        boolean renewsLease() {
            return this == OWNER;
        }
    }

    /**
     * Request for promises of the other candidates during a store outage.
     *
     * @param epoch epoch of the owner
     * @param sentAt instant before the request is sent, in nanoseconds of the owner's ticker
     * @param candidates daemons that must all promise
     */
    public record PromiseRequest(long epoch, long sentAt, Set<HostId> candidates) {}

    private final HostId self;
    private final long incarnation;
    private final AdmissionTiming timing;
    private final Ticker ticker;
    private final long startedAt;

    private Role role = Role.OBSERVER;
    private Optional<LeaseRecord.Versioned> lastRecord = Optional.empty();
    private boolean hasRead;
    private boolean readRequired = true;
    private long lastChangeAt;

    private boolean promised;
    private long promisedAt;

    private long epoch;
    private long leaseExpiry;
    private long lastStoreRenewalAt;
    private long writeCount;
    private final Set<HostId> possibleCandidates = new HashSet<>();
    private final Map<Long, LeaseWrite> unresolvedWrites = new HashMap<>();

    /**
     * Creates a view that has not read the lease yet.
     *
     * @param incarnation run of this daemon
     */
    public ShardLease(HostId self, long incarnation, AdmissionTiming timing, Ticker ticker) {
        this.self = self;
        this.incarnation = incarnation;
        this.timing = timing;
        this.ticker = ticker;
        this.startedAt = ticker.nanos();
    }

    // ---- state

    /**
     * Returns whether this daemon owns the shard and its lease is valid, so that it may grant
     * slots.
     */
    public boolean owns() {
        return role == Role.OWNER && ticker.nanos() - leaseExpiry < 0;
    }

    /**
     * Returns whether this run of this daemon is the last known owner, even if its lease has
     * expired.
     */
    public boolean isLastKnownOwner() {
        return role != Role.OBSERVER;
    }

    /** Returns whether this daemon is releasing the shard. */
    public boolean releasing() {
        return role == Role.RELEASING;
    }

    /**
     * Returns the epoch of this daemon's ownership, or the epoch of the last record read; 0 if
     * there is none.
     */
    public long epoch() {
        return isLastKnownOwner() ? epoch : lastRecord.map(r -> r.record().epoch()).orElse(0L);
    }

    /**
     * Returns the owner named by the last record read; empty if the record names an earlier run of
     * this daemon.
     */
    public Optional<HostId> knownOwner() {
        if (isLastKnownOwner()) {
            return Optional.of(self);
        }
        return lastRecord.flatMap(r -> r.record().owner()).filter(h -> !h.equals(self));
    }

    /** Returns whether the last record read names this daemon as a candidate. */
    public boolean isCandidate() {
        return lastRecord.isPresent() && lastRecord.get().record().candidates().contains(self);
    }

    // ---- reads

    /** Processes the row as read from the store. */
    public void onRead(Optional<LeaseRecord.Versioned> row) {
        boolean changed = !hasRead || version(row) != version(lastRecord);
        hasRead = true;
        readRequired = false;
        if (changed) {
            lastRecord = row;
            lastChangeAt = ticker.nanos();
        }
        if (row.isPresent() && row.get().record().isOwnedBy(self, incarnation)) {
            adoptRecord(row.get());
        } else if (isLastKnownOwner()) {
            role = Role.OBSERVER;
        }
        // A pending write that expects another version can no longer take effect.
        unresolvedWrites.values().removeIf(w -> w.expectedVersion() != version(row));
    }

    private void adoptRecord(LeaseRecord.Versioned row) {
        LeaseRecord r = row.record();
        LeaseWrite write = unresolvedWrites.remove(r.writeNumber());
        if (write != null) {
            onWritten(write, row.version());
        }
        if (isLastKnownOwner() && r.epoch() == epoch) {
            possibleCandidates.clear();
            possibleCandidates.addAll(r.candidates());
        }
    }

    private static long version(Optional<LeaseRecord.Versioned> row) {
        return row.map(LeaseRecord.Versioned::version).orElse(0L);
    }

    // ---- writes

    /** Returns whether the record must be read before the next write. */
    public boolean mustRead() {
        return readRequired;
    }

    /**
     * Returns the renewal that the owner should write now; empty if this daemon is not the owner or
     * must read first.
     *
     * @param candidates candidates of the new record, this daemon first
     */
    public Optional<LeaseWrite> renewal(List<HostId> candidates) {
        if (!role.renewsLease() || mustRead()) {
            return Optional.empty();
        }
        return Optional.of(write(Optional.of(self), epoch, candidates));
    }

    /**
     * Returns the takeover that this daemon may write now; empty if it must wait or read first.
     *
     * @param rank rank of this daemon for the shard among the live members, from 0; higher ranks
     *     wait longer for a shard without owner, which avoids races
     * @param candidates candidates of the new record, this daemon first
     */
    public Optional<LeaseWrite> takeover(int rank, List<HostId> candidates) {
        if (isLastKnownOwner() || mustRead() || !mayTakeOver(rank)) {
            return Optional.empty();
        }
        long next = lastRecord.map(r -> r.record().epoch()).orElse(0L) + 1;
        return Optional.of(write(Optional.of(self), next, candidates));
    }

    private boolean mayTakeOver(int rank) {
        long now = ticker.nanos();
        boolean unowned = lastRecord.isEmpty() || lastRecord.get().record().owner().isEmpty();
        if (unowned) {
            return now - lastChangeAt >= timing.renewalInterval().toNanos() * rank;
        }
        Duration wait = isCandidate() ? timing.takeoverDelay() : timing.nonCandidateWait();
        boolean unchanged = now - Math.max(lastChangeAt, startedAt) >= wait.toNanos();
        // The lease of the owner may be valid for one lease duration after the promise, and it may
        // grant slots until then, so a promise postpones a takeover by the full wait.
        boolean promiseExpired = !promised || now - promisedAt >= timing.takeoverDelay().toNanos();
        return unchanged && promiseExpired;
    }

    /** Stops granting slots permanently; the shard is released by {@link #release}. */
    public void startRelease() {
        if (role == Role.OWNER) {
            role = Role.RELEASING;
        }
    }

    /**
     * Returns the write that releases the shard; empty until the last grant has expired.
     *
     * @param lastGrantAt instant of the last grant of this daemon, in nanoseconds of the ticker
     */
    public Optional<LeaseWrite> release(long lastGrantAt) {
        boolean expired = ticker.nanos() - lastGrantAt >= timing.ownerGrantTtl().toNanos();
        if (role != Role.RELEASING || mustRead() || !expired) {
            return Optional.empty();
        }
        List<HostId> candidates = lastRecord.map(r -> r.record().candidates()).orElse(List.of());
        return Optional.of(write(Optional.empty(), epoch, candidates));
    }

    private LeaseWrite write(Optional<HostId> owner, long ownerEpoch, List<HostId> candidates) {
        writeCount++;
        var record = new LeaseRecord(owner, incarnation, ownerEpoch, writeCount, candidates);
        var write = new LeaseWrite(record, version(lastRecord), ticker.nanos());
        unresolvedWrites.put(writeCount, write);
        return write;
    }

    /**
     * Processes a successful write.
     *
     * @param version new version of the row
     */
    public void onWritten(LeaseWrite write, long version) {
        LeaseRecord r = write.record();
        unresolvedWrites.clear();
        lastRecord = Optional.of(new LeaseRecord.Versioned(r, version));
        lastChangeAt = ticker.nanos();
        if (r.owner().isEmpty()) {
            role = Role.OBSERVER;
            return;
        }
        if (role == Role.OBSERVER) {
            role = Role.OWNER;
            leaseExpiry = write.sentAt();
            promised = false;
        }
        epoch = r.epoch();
        possibleCandidates.clear();
        possibleCandidates.addAll(r.candidates());
        lastStoreRenewalAt = write.sentAt();
        extendTo(write.sentAt() + timing.leaseDuration().toNanos());
    }

    /**
     * Processes the failure of a write that certainly had no effect, because the store was
     * unavailable.
     */
    public void onUnavailable(LeaseWrite write) {
        unresolvedWrites.remove(write.record().writeNumber());
    }

    /** Processes the failure of a write because the row has another version. */
    public void onConflict(LeaseWrite write) {
        unresolvedWrites.remove(write.record().writeNumber());
        hasRead = false;
        readRequired = true;
    }

    /** Processes a write whose result is unknown; the record must be read before the next write. */
    public void onOutcomeUnknown(LeaseWrite write) {
        readRequired = true;
        if (isLastKnownOwner()) {
            possibleCandidates.addAll(write.record().candidates());
        }
    }

    private void extendTo(long instant) {
        if (instant - leaseExpiry > 0) {
            leaseExpiry = instant;
        }
    }

    // ---- promises

    /**
     * Handles the request for a promise not to take the shard over for one lease duration.
     *
     * @param owner requesting owner
     * @param ownerEpoch epoch of the owner
     * @return whether this daemon promises
     */
    public boolean promise(HostId owner, long ownerEpoch) {
        // A takeover with an unknown result may still take effect, so it rules out a promise.
        if (isLastKnownOwner() || !unresolvedWrites.isEmpty() || ownerEpoch < epoch()) {
            return false;
        }
        boolean ownedByAnother =
                ownerEpoch == epoch()
                        && knownOwner().isPresent()
                        && !knownOwner().get().equals(owner);
        if (ownedByAnother) {
            return false;
        }
        promised = true;
        promisedAt = ticker.nanos();
        return true;
    }

    /**
     * Returns the request for promises that extends the lease without the store; empty if there are
     * no other candidates or the limit of such extensions is reached.
     */
    public Optional<PromiseRequest> promiseRequest() {
        long now = ticker.nanos();
        Set<HostId> others = new TreeSet<>(possibleCandidates);
        others.remove(self);
        boolean extensionLimitReached =
                now - lastStoreRenewalAt >= timing.maxPromiseExtension().toNanos();
        if (role != Role.OWNER || others.isEmpty() || extensionLimitReached) {
            return Optional.empty();
        }
        return Optional.of(new PromiseRequest(epoch, now, others));
    }

    /** Extends the lease after all candidates of the request have promised. */
    public void onAllPromised(PromiseRequest request) {
        if (role != Role.OWNER || request.epoch() != epoch) {
            return;
        }
        long maxExpiry = lastStoreRenewalAt + timing.maxPromiseExtension().toNanos();
        long requestedExpiry = request.sentAt() + timing.leaseDuration().toNanos();
        extendTo(requestedExpiry - maxExpiry < 0 ? requestedExpiry : maxExpiry);
    }
}
