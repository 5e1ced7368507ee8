package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;

/** One incarnation of a target and this daemon's local view of it. Thread-safe. */
public final class Target {
    /** A load report loses weight linearly until it has this age. */
    private static final double REPORT_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Weight of the newest response in the exponential moving average of the latency. */
    private static final double LATENCY_WEIGHT = 0.3;

    private static final double LATENCY_HALF_LIFE_NANOS = Duration.ofMillis(1500).toNanos();
    private static final double NANOS_PER_MS = 1e6;

    /** Time after which an engine has cached the prefixes that map to it and are still in use. */
    private static final long SETTLE_NANOS = Duration.ofSeconds(12).toNanos();

    /**
     * Time for which a cached prefix is repeated in reports to the other daemons, so that a lost
     * report does no harm.
     */
    private static final long NEW_READ_NANOS = PeerLoads.FRESH.toNanos();

    private record NewRead(PromptKey key, long at) {}

    /** A request that waits for the first byte of its response. */
    public static final class Waiting {
        private final long since;

        private Waiting(long since) {
            this.since = since;
        }
    }

    private final Ticker ticker;
    private final long listedAt;
    private final boolean listedFirst;
    private final ColdGate cold = new ColdGate();
    private final TargetHealth health = new TargetHealth();
    private final HeldParts parts = new HeldParts();
    private final ArrayDeque<NewRead> newReads = new ArrayDeque<>();
    private volatile TargetEntry entry;
    private volatile boolean gone;
    private int inFlight;
    private int othersAtReport;
    private long reportedAt;
    private boolean hasReport;
    private final Set<Waiting> waiting = new LinkedHashSet<>();
    private double latencyMs;
    private long latencyAt;

    /**
     * @param listedFirst whether the target was in the first list that this daemon read, so that it
     *     may have been running for long
     */
    Target(TargetEntry entry, boolean listedFirst, Ticker ticker) {
        this.entry = entry;
        this.ticker = ticker;
        this.listedFirst = listedFirst;
        listedAt = ticker.nanos();
        cold.coldFor(entry.coldFor(), ticker.nanos());
    }

    /** Returns the current entry of the target. */
    public TargetEntry entry() {
        return entry;
    }

    public TargetId id() {
        return entry.id();
    }

    /** Returns whether the target was removed from the list or replaced by a new incarnation. */
    public boolean gone() {
        return gone;
    }

    void gone(boolean value) {
        gone = value;
    }

    synchronized void update(TargetEntry next) {
        entry = next;
        cold.coldFor(next.coldFor(), ticker.nanos());
    }

    // ---- requests

    /**
     * Counts a request that is about to be sent.
     *
     * @param coldPerSecond requests per second that this daemon may send while the target is cold
     * @param evenIfResting whether an ejected target may get the request
     * @return false if the target may not get the request
     */
    synchronized boolean tryBegin(int coldPerSecond, boolean evenIfResting) {
        long now = ticker.nanos();
        if (!mayBegin(coldPerSecond, evenIfResting, now)) {
            return false;
        }
        cold.sent(now);
        health.sent(now);
        inFlight++;
        return true;
    }

    private boolean mayBegin(int coldPerSecond, boolean evenIfResting, long now) {
        if (gone || entry.leaving() || !cold.permits(coldPerSecond, now)) {
            return false;
        }
        return evenIfResting || health.permits(now);
    }

    /** Counts the end of a request and records its outcome for the health of the target. */
    public synchronized void end(Verdict verdict) {
        inFlight--;
        health.record(verdict, ticker.nanos());
    }

    /** Records that a request waits for the first byte of its response. */
    public synchronized Waiting awaiting() {
        Waiting call = new Waiting(ticker.nanos());
        waiting.add(call);
        return call;
    }

    /**
     * Records that a request no longer waits, because it ended without a response. Has no effect
     * after {@link #answered}.
     */
    public synchronized void notAwaiting(Waiting call) {
        waiting.remove(call);
    }

    /** Records the first byte of a response and updates the latency. */
    public synchronized void answered(Waiting call) {
        if (waiting.remove(call)) {
            latencyAt = ticker.nanos();
            double ms = (latencyAt - call.since) / NANOS_PER_MS;
            latencyMs = latencyMs == 0 ? ms : latencyMs + LATENCY_WEIGHT * (ms - latencyMs);
        }
    }

    /** Records that the target has cached a prompt prefix for a request of this daemon. */
    public synchronized void hasRead(PromptKey key) {
        long now = ticker.nanos();
        parts.used(key, now);
        forgetReads(now);
        newReads.addLast(new NewRead(key, now));
    }

    /** Records that the target has cached a prompt prefix for another daemon. */
    synchronized void hasReadForPeer(PromptKey key) {
        parts.used(key, ticker.nanos());
    }

    /** Returns the prefixes that the target has cached for this daemon a short time ago. */
    synchronized List<PartsRead> newReads() {
        forgetReads(ticker.nanos());
        return newReads.stream().map(r -> new PartsRead(id(), r.key())).toList();
    }

    private void forgetReads(long now) {
        while (!newReads.isEmpty() && now - newReads.peekFirst().at() >= NEW_READ_NANOS) {
            newReads.pollFirst();
        }
    }

    /** Records a load that the target reports. */
    public synchronized void report(LoadReport load) {
        othersAtReport = Math.max(0, load.held() - inFlight);
        reportedAt = ticker.nanos();
        hasReport = true;
    }

    // ---- estimates

    /**
     * Returns whether the target has been listed for long enough to have cached the prefixes that
     * map to it.
     */
    public boolean settled() {
        return listedFirst || ticker.nanos() - listedAt >= SETTLE_NANOS;
    }

    /** Returns when the target last used a prompt prefix; empty if the prefix is not cached. */
    synchronized Optional<Long> lastUse(PromptKey key) {
        return parts.lastUse(key, ticker.nanos());
    }

    /** Returns whether the target is estimated to have a prompt prefix cached. */
    public boolean hasParts(PromptKey key) {
        return lastUse(key).isPresent();
    }

    /** Returns the requests of this daemon in flight at the target. */
    public synchronized int inFlight() {
        return inFlight;
    }

    /**
     * Requests of other daemons at a target.
     *
     * @param calls requests as last reported
     * @param trust weight of the report, from 1 when it is new to 0
     */
    public record Others(int calls, double trust) {}

    /** Returns the estimated requests of other daemons; weight 0 if the target has not reported. */
    public synchronized Others others() {
        if (!hasReport) {
            return new Others(0, 0);
        }
        double age = ticker.nanos() - reportedAt;
        return new Others(othersAtReport, Math.max(0, 1 - age / REPORT_LIFE_NANOS));
    }

    /** Returns the mean time to the first byte of a response, in milliseconds; 0 if unknown. */
    public synchronized double latencyMs() {
        return latencyMs;
    }

    /**
     * Returns how long a request would wait for its first byte, in milliseconds, estimated from
     * recent responses and from the request that has been waiting longest. Old responses lose
     * weight, so that a target that was slow is tried again.
     */
    public synchronized double recentWaitMs() {
        long now = ticker.nanos();
        double faded = latencyMs * Math.pow(0.5, (now - latencyAt) / LATENCY_HALF_LIFE_NANOS);
        if (waiting.isEmpty()) {
            return faded;
        }
        long oldest = waiting.iterator().next().since;
        return Math.max(faded, (now - oldest) / NANOS_PER_MS);
    }

    public synchronized boolean isCold() {
        return cold.isCold(ticker.nanos());
    }

    public synchronized HealthState health() {
        return health.state(ticker.nanos());
    }

    @Override
    public String toString() {
        return id().value();
    }
}
