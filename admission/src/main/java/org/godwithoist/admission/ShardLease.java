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
        WATCHING,
        /** The last record was written by this run of this daemon. */
        OWNER,
        /** This daemon is releasing the shard and grants no slots. */
        RELEASING;

        boolean writesRenewals() {
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

    private Role role = Role.WATCHING;
    private Optional<LeaseRecord.Versioned> seen = Optional.empty();
    private boolean everRead;
    private boolean readNeeded = true;
    private long seenAt;

    private boolean promised;
    private long promisedAt;

    private long epoch;
    private long leaseUntil;
    private long lastStoreRenewal;
    private long renewals;
    private final Set<HostId> possibleCandidates = new HashSet<>();
    private final Map<Long, LeaseWrite> doubtful = new HashMap<>();

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
        return role == Role.OWNER && ticker.nanos() - leaseUntil < 0;
    }

    /**
     * Returns whether this run of this daemon is the last known owner, even if its lease has
     * expired.
     */
    public boolean isLastKnownOwner() {
        return role != Role.WATCHING;
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
        return isLastKnownOwner() ? epoch : seen.map(s -> s.record().epoch()).orElse(0L);
    }

    /**
     * Returns the owner named by the last record read; empty if the record names an earlier run of
     * this daemon.
     */
    public Optional<HostId> knownOwner() {
        if (isLastKnownOwner()) {
            return Optional.of(self);
        }
        return seen.flatMap(s -> s.record().owner()).filter(h -> !h.equals(self));
    }

    /** Returns whether the last record read names this daemon as a candidate. */
    public boolean isCandidate() {
        return seen.isPresent() && seen.get().record().candidates().contains(self);
    }

    // ---- reads

    /** Processes the row as read from the store. */
    public void onRead(Optional<LeaseRecord.Versioned> row) {
        boolean changed = !everRead || version(row) != version(seen);
        everRead = true;
        readNeeded = false;
        if (changed) {
            seen = row;
            seenAt = ticker.nanos();
        }
        if (row.isPresent() && row.get().record().isOf(self, incarnation)) {
            adopt(row.get());
        } else if (isLastKnownOwner()) {
            role = Role.WATCHING;
        }
        // A pending write that expects another version can no longer take effect.
        doubtful.values().removeIf(w -> w.expected() != version(row));
    }

    private void adopt(LeaseRecord.Versioned row) {
        LeaseRecord r = row.record();
        LeaseWrite write = doubtful.remove(r.renewal());
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
        return readNeeded;
    }

    /**
     * Returns the renewal that the owner should write now; empty if this daemon is not the owner or
     * must read first.
     *
     * @param candidates candidates of the new record, this daemon first
     */
    public Optional<LeaseWrite> renewal(List<HostId> candidates) {
        if (!role.writesRenewals() || mustRead()) {
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
        long next = seen.map(s -> s.record().epoch()).orElse(0L) + 1;
        return Optional.of(write(Optional.of(self), next, candidates));
    }

    private boolean mayTakeOver(int rank) {
        long now = ticker.nanos();
        boolean free = seen.isEmpty() || seen.get().record().owner().isEmpty();
        if (free) {
            return now - seenAt >= timing.renewalInterval().toNanos() * rank;
        }
        Duration wait = isCandidate() ? timing.takeoverWait() : timing.outsiderWait();
        boolean unchanged = now - Math.max(seenAt, startedAt) >= wait.toNanos();
        // The lease of the owner may be valid for one lease duration after the promise, and it may
        // grant slots until then, so a promise postpones a takeover by the full wait.
        boolean promiseOver = !promised || now - promisedAt >= timing.takeoverWait().toNanos();
        return unchanged && promiseOver;
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
        boolean expired = ticker.nanos() - lastGrantAt >= timing.grantLife().toNanos();
        if (role != Role.RELEASING || mustRead() || !expired) {
            return Optional.empty();
        }
        List<HostId> candidates = seen.map(s -> s.record().candidates()).orElse(List.of());
        return Optional.of(write(Optional.empty(), epoch, candidates));
    }

    private LeaseWrite write(Optional<HostId> owner, long ofEpoch, List<HostId> candidates) {
        renewals++;
        var record = new LeaseRecord(owner, incarnation, ofEpoch, renewals, candidates);
        var write = new LeaseWrite(record, version(seen), ticker.nanos());
        doubtful.put(renewals, write);
        return write;
    }

    /**
     * Processes a successful write.
     *
     * @param version new version of the row
     */
    public void onWritten(LeaseWrite write, long version) {
        LeaseRecord r = write.record();
        doubtful.clear();
        seen = Optional.of(new LeaseRecord.Versioned(r, version));
        seenAt = ticker.nanos();
        if (r.owner().isEmpty()) {
            role = Role.WATCHING;
            return;
        }
        if (role == Role.WATCHING) {
            role = Role.OWNER;
            leaseUntil = write.sentAt();
            promised = false;
        }
        epoch = r.epoch();
        possibleCandidates.clear();
        possibleCandidates.addAll(r.candidates());
        lastStoreRenewal = write.sentAt();
        extendTo(write.sentAt() + timing.leaseDuration().toNanos());
    }

    /**
     * Processes the failure of a write that certainly had no effect, because the store was
     * unavailable.
     */
    public void onUnavailable(LeaseWrite write) {
        doubtful.remove(write.record().renewal());
    }

    /** Processes the failure of a write because the row has another version. */
    public void onConflict(LeaseWrite write) {
        doubtful.remove(write.record().renewal());
        everRead = false;
        readNeeded = true;
    }

    /** Processes a write whose result is unknown; the record must be read before the next write. */
    public void onOutcomeUnknown(LeaseWrite write) {
        readNeeded = true;
        if (isLastKnownOwner()) {
            possibleCandidates.addAll(write.record().candidates());
        }
    }

    private void extendTo(long instant) {
        if (instant - leaseUntil > 0) {
            leaseUntil = instant;
        }
    }

    // ---- promises

    /**
     * Handles the request for a promise not to take the shard over for one lease duration.
     *
     * @param owner requesting owner
     * @param ofEpoch epoch of the owner
     * @return whether this daemon promises
     */
    public boolean promise(HostId owner, long ofEpoch) {
        // A takeover with an unknown result may still take effect, so it rules out a promise.
        if (isLastKnownOwner() || !doubtful.isEmpty() || ofEpoch < epoch()) {
            return false;
        }
        boolean other =
                ofEpoch == epoch() && knownOwner().isPresent() && !knownOwner().get().equals(owner);
        if (other) {
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
        boolean tooLong = now - lastStoreRenewal >= timing.promiseLimit().toNanos();
        if (role != Role.OWNER || others.isEmpty() || tooLong) {
            return Optional.empty();
        }
        return Optional.of(new PromiseRequest(epoch, now, others));
    }

    /** Extends the lease after all candidates of the request have promised. */
    public void onAllPromised(PromiseRequest request) {
        if (role != Role.OWNER || request.epoch() != epoch) {
            return;
        }
        long limit = lastStoreRenewal + timing.promiseLimit().toNanos();
        long until = request.sentAt() + timing.leaseDuration().toNanos();
        extendTo(until - limit < 0 ? until : limit);
    }
}
