package org.godwithoist.accounting;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.core.id.RequestId;

/** Copy of another daemon's unsettled attempts at its replica. Guarded by {@link ChainCopies}. */
final class ChainCopy {
    private final long epoch;
    private final Map<RequestId, Attempt> open = new LinkedHashMap<>();
    private final TreeMap<Long, CountedAttempt> counted = new TreeMap<>();
    private List<ChainId> owned = List.of();
    private long applied;
    private long snapshotEnd;
    private long completeEpoch;
    private boolean handedOver;
    private long lastRegistrationNanos;

    ChainCopy(long epoch) {
        this.epoch = epoch;
    }

    long epoch() {
        return epoch;
    }

    /**
     * Returns the epoch to use for a takeover. An incomplete copy has the epoch of the last
     * complete one, so that it does not exclude the complete copy of an earlier replica.
     */
    long takeoverEpoch() {
        return applied >= snapshotEnd ? epoch : Math.min(epoch, completeEpoch);
    }

    long applied() {
        return applied;
    }

    boolean handedOver() {
        return handedOver;
    }

    /** Returns the time of the last registration in nanoseconds of the ticker. */
    long lastRegistrationNanos() {
        return lastRegistrationNanos;
    }

    Collection<Attempt> open() {
        return open.values();
    }

    Collection<CountedAttempt> counted() {
        return counted.values();
    }

    List<ChainId> owned() {
        return owned;
    }

    boolean isEmpty() {
        return open.isEmpty() && counted.isEmpty() && owned.isEmpty();
    }

    /** Applies the entries in sequence; ignores duplicates and entries after a gap. */
    void apply(Registration r, long nowNanos) {
        lastRegistrationNanos = nowNanos;
        for (LogEntry e : r.entries()) {
            if (e.position() == applied + 1) {
                e.kind().apply(this, e);
                applied++;
            }
        }
        counted.headMap(r.settledThrough(), true).clear();
        snapshotEnd = r.snapshotEnd();
        completeEpoch = r.completeEpoch();
        owned = r.owned();
        handedOver |= r.handOver();
    }

    void opened(Attempt a) {
        open.put(a.id(), a);
    }

    void closed(CountedAttempt c) {
        open.remove(c.attempt().id());
        counted.put(c.ordinal(), c);
    }

    void cancelled(RequestId id) {
        open.remove(id);
    }
}
