package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;

/** One start of a target and what this daemon believes of it. Thread-safe. */
public final class Target {
    /** A report tells less and less of the load until it has this age. */
    private static final double REPORT_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Weight of the newest answer in the mean latency. */
    private static final double LATENCY_WEIGHT = 0.3;

    private static final double LATENCY_HALF_LIFE_NANOS = Duration.ofMillis(1500).toNanos();
    private static final double NANOS_PER_MS = 1e6;

    /** Time after which an engine has read the parts that map to it and are still asked for. */
    private static final long SETTLE_NANOS = Duration.ofSeconds(12).toNanos();

    /** Reads are told to the other daemons for this long; each message repeats the last ones. */
    private static final long NEW_READ_NANOS = PeerLoads.FRESH.toNanos();

    private record NewRead(PromptKey key, long at) {}

    /** A call that waits for the first byte of its answer. */
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
     * Makes a target.
     *
     * @param listedFirst whether it was in the first list that this daemon read, so that it may
     *     have been at work for long
     */
    Target(TargetEntry entry, boolean listedFirst, Ticker ticker) {
        this.entry = entry;
        this.ticker = ticker;
        this.listedFirst = listedFirst;
        listedAt = ticker.nanos();
        cold.coldFor(entry.coldFor(), ticker.nanos());
    }

    /** Returns what the target says of itself. */
    public TargetEntry entry() {
        return entry;
    }

    /** Returns the id of the target. */
    public TargetId id() {
        return entry.id();
    }

    /** Returns whether the target has left the list. */
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

    // ---- calls

    /**
     * Counts a call that is about to be sent.
     *
     * @param coldPerSecond calls a second that this daemon may send while the target is cold
     * @param evenIfResting whether the call may go to a target that rests
     * @return false if the target may not get the call
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

    /** Counts the end of a call and learns from its outcome. */
    public synchronized void end(Verdict verdict) {
        inFlight--;
        health.record(verdict, ticker.nanos());
    }

    /** Takes note that a call waits for the first byte of its answer. */
    public synchronized Waiting awaiting() {
        Waiting call = new Waiting(ticker.nanos());
        waiting.add(call);
        return call;
    }

    /** Takes note that a call no longer waits, because it ended without an answer. */
    public synchronized void notAwaiting(Waiting call) {
        waiting.remove(call);
    }

    /** Takes note of the first byte of a call's answer. */
    public synchronized void answered(Waiting call) {
        if (waiting.remove(call)) {
            latencyAt = ticker.nanos();
            double ms = (latencyAt - call.since) / NANOS_PER_MS;
            latencyMs = latencyMs == 0 ? ms : latencyMs + LATENCY_WEIGHT * (ms - latencyMs);
        }
    }

    /** Takes note that the target has read the parts of a prompt for a call of this daemon. */
    public synchronized void hasRead(PromptKey key) {
        long now = ticker.nanos();
        parts.used(key, now);
        forgetReads(now);
        newReads.addLast(new NewRead(key, now));
    }

    /** Takes note that the target has read the parts of a prompt for another daemon. */
    synchronized void hasReadForPeer(PromptKey key) {
        parts.used(key, ticker.nanos());
    }

    /** Returns the parts that the target has read for this daemon a short time ago. */
    synchronized List<PartsRead> newReads() {
        forgetReads(ticker.nanos());
        return newReads.stream().map(r -> new PartsRead(id(), r.key())).toList();
    }

    private void forgetReads(long now) {
        while (!newReads.isEmpty() && now - newReads.peekFirst().at() >= NEW_READ_NANOS) {
            newReads.pollFirst();
        }
    }

    /** Takes note of a load that the target reports. */
    public synchronized void report(LoadReport load) {
        othersAtReport = Math.max(0, load.held() - inFlight);
        reportedAt = ticker.nanos();
        hasReport = true;
    }

    // ---- beliefs

    /** Returns whether the target has been listed for long enough to have read its prompt parts. */
    public boolean settled() {
        return listedFirst || ticker.nanos() - listedAt >= SETTLE_NANOS;
    }

    /**
     * Returns when the target last used the parts of a prompt, or empty if it has not read them.
     */
    synchronized Optional<Long> lastUse(PromptKey key) {
        return parts.lastUse(key, ticker.nanos());
    }

    /** Returns whether the target keeps the parts of a prompt, as far as known. */
    public boolean hasParts(PromptKey key) {
        return lastUse(key).isPresent();
    }

    /** Returns the calls of this daemon that the target holds. */
    public synchronized int inFlight() {
        return inFlight;
    }

    /**
     * Calls of other daemons at a target.
     *
     * @param calls calls as last reported
     * @param trust how much the report still tells, from 0 to 1
     */
    public record Others(int calls, double trust) {}

    /** Returns the calls of other daemons, as far as known. */
    public synchronized Others others() {
        if (!hasReport) {
            return new Others(0, 0);
        }
        double age = ticker.nanos() - reportedAt;
        return new Others(othersAtReport, Math.max(0, 1 - age / REPORT_LIFE_NANOS));
    }

    /** Returns the mean time to the first byte of an answer, in milliseconds; 0 if unknown. */
    public synchronized double latencyMs() {
        return latencyMs;
    }

    /**
     * Returns how long a call would wait for its first byte, judged by recent answers and by the
     * call that waits longest now, in milliseconds. Old answers count less and less, so that a
     * target that was slow is tried again.
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

    /** Returns whether the target is cold. */
    public synchronized boolean isCold() {
        return cold.isCold(ticker.nanos());
    }

    /** Returns the state of health. */
    public synchronized HealthState health() {
        return health.state(ticker.nanos());
    }

    @Override
    public String toString() {
        return id().value();
    }
}
