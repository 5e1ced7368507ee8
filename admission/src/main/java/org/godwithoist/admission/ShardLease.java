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
 * One daemon's view of the lease of one shard: renewal, takeover, promises and release. It decides
 * what to write and when; the caller does the writing and reports the outcome. Not thread-safe.
 */
public final class ShardLease {
    /** What this daemon does with the shard. */
    private enum Role {
        /** Another daemon owns the shard, or nobody does. */
        WATCHING,
        /** This run of this daemon wrote the record last. */
        OWNER,
        /** This daemon gives the shard up and grants nothing. */
        RELEASING;

        boolean writesRenewals() {
            return this == OWNER;
        }
    }

    /**
     * A question to the other candidates during a store outage.
     *
     * @param epoch epoch of the owner
     * @param sentAt instant before the question is sent
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

    /** Makes the view of a daemon that knows nothing of the shard yet. */
    public ShardLease(HostId self, long incarnation, AdmissionTiming timing, Ticker ticker) {
        this.self = self;
        this.incarnation = incarnation;
        this.timing = timing;
        this.ticker = ticker;
        this.startedAt = ticker.nanos();
    }

    // ---- state

    /** Returns whether this daemon may grant slots now. */
    public boolean owns() {
        return role == Role.OWNER && ticker.nanos() - leaseUntil < 0;
    }

    /**
     * Returns whether this run of this daemon is the last known owner, even if its lease expired.
     */
    public boolean isLastKnownOwner() {
        return role != Role.WATCHING;
    }

    /** Returns whether the shard is being given up. */
    public boolean releasing() {
        return role == Role.RELEASING;
    }

    /** Returns the epoch of this daemon's ownership, or the highest epoch seen. */
    public long epoch() {
        return isLastKnownOwner() ? epoch : seen.map(s -> s.record().epoch()).orElse(0L);
    }

    /**
     * Returns the owner according to the record that was read last; empty if the record names an
     * earlier run of this daemon.
     */
    public Optional<HostId> knownOwner() {
        if (isLastKnownOwner()) {
            return Optional.of(self);
        }
        return seen.flatMap(s -> s.record().owner()).filter(h -> !h.equals(self));
    }

    /** Returns whether this daemon is a candidate according to the record that was read last. */
    public boolean isCandidate() {
        return seen.isPresent() && seen.get().record().candidates().contains(self);
    }

    // ---- reads

    /** Takes the row as read from the store. */
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
        // A write that expects another version can no longer take effect.
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
     * Returns the renewal that an owner should write now.
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
     * Returns the takeover that this daemon may write now.
     *
     * @param rank place of this daemon among the live members for the shard, from 0; later ones
     *     wait longer for a shard without owner, so that they do not race
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
        // The owner may count its lease up to one lease duration after the promise and grant slots
        // until then, so a promise postpones a takeover by the whole wait.
        boolean promiseOver = !promised || now - promisedAt >= timing.takeoverWait().toNanos();
        return unchanged && promiseOver;
    }

    /** Stops granting for good; the shard is given up by {@link #release}. */
    public void startRelease() {
        if (role == Role.OWNER) {
            role = Role.RELEASING;
        }
    }

    /**
     * Returns the write that gives the shard up, or empty while it is too early.
     *
     * @param lastGrantAt instant of the last grant of this daemon
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

    /** Takes the success of a write. */
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

    /** Takes the failure of a write that certainly had no effect; the store did not respond. */
    public void onUnavailable(LeaseWrite write) {
        doubtful.remove(write.record().renewal());
    }

    /** Takes the failure of a write because the row has another version. */
    public void onConflict(LeaseWrite write) {
        doubtful.remove(write.record().renewal());
        everRead = false;
        readNeeded = true;
    }

    /** Takes the loss of a write's answer; the record must be read before anything else. */
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
     * Asks for the promise of this daemon not to take the shard over for one lease duration.
     *
     * @param owner owner that asks
     * @param ofEpoch epoch of the owner
     * @return whether this daemon promises
     */
    public boolean promise(HostId owner, long ofEpoch) {
        // A takeover whose answer is lost may still take effect, so it forbids a promise.
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

    /** Returns the question that an owner may send to extend its lease without the store. */
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

    /** Takes the promise of all candidates that were asked. */
    public void onAllPromised(PromiseRequest request) {
        if (role != Role.OWNER || request.epoch() != epoch) {
            return;
        }
        long limit = lastStoreRenewal + timing.promiseLimit().toNanos();
        long until = request.sentAt() + timing.leaseDuration().toNanos();
        extendTo(until - limit < 0 ? until : limit);
    }
}
