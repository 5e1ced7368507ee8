package org.godwithoist.routing;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;

/**
 * Estimates of this daemon for each target: prefill speed, wait for a slot and turnover of the
 * prompt cache. Thread-safe.
 */
public final class TargetCostModel {
    /** Prefill speed assumed for an unknown target, in tokens per millisecond. */
    static final double DEFAULT_PREFILL_TOKENS_PER_MS = 10;

    /** Time per token assumed for KV export and import without a measurement. */
    static final double DEFAULT_TRANSFER_MS_PER_TOKEN = 0.01;

    static final double FIXED_TRANSFER_MS = 20;

    private static final double EWMA_WEIGHT = 0.2;

    /**
     * Minimum prefill for a speed sample; the time of shorter ones mainly reflects the fixed delay
     * of the engine.
     */
    private static final long MIN_SPEED_SAMPLE_TOKENS = 256;

    private static final double WAIT_HALF_LIFE_MS = 2_000;

    /**
     * Maximum age of a speed estimate. Without it, one slow response could permanently keep all
     * requests away from an engine.
     */
    private static final double MAX_SPEED_AGE_MS = 30_000;

    /** Maximum age of a placement whose cache is used in estimates, regardless of the turnover. */
    private static final Duration MAX_PLACEMENT_AGE = Duration.ofHours(6);

    private final Ticker ticker;
    private final IntSupplier daemons;
    private final Map<TargetId, TargetEstimate> estimates = new ConcurrentHashMap<>();
    private volatile double transferMsPerToken = DEFAULT_TRANSFER_MS_PER_TOKEN;

    /**
     * Creates a model without samples.
     *
     * @param daemons number of daemons in the fleet; each observes only its part of the load of a
     *     target, so the cache turnover that it observes is multiplied by this number
     */
    public TargetCostModel(Ticker ticker, IntSupplier daemons) {
        this.ticker = ticker;
        this.daemons = daemons;
    }

    // ---- samples

    /**
     * Records a response.
     *
     * @param uncachedTokens tokens of the prompt that were not in the cache
     * @param completionTokens tokens generated
     * @param timeToFirstToken time from the request to the first token
     */
    public void recordResponse(
            TargetId target,
            long uncachedTokens,
            long completionTokens,
            Duration timeToFirstToken) {
        estimate(target)
                .recordResponse(uncachedTokens, completionTokens, ms(timeToFirstToken), now());
    }

    /** Records the wait of a request for a slot, whether or not it got one. */
    public void recordWait(TargetId target, Duration wait) {
        estimate(target).recordWait(ms(wait), now());
    }

    /** Records a KV export and import. */
    public synchronized void recordTransfer(long tokens, Duration time) {
        if (tokens > 0) {
            double measured = Math.max(0, ms(time) - FIXED_TRANSFER_MS) / tokens;
            transferMsPerToken += EWMA_WEIGHT * (measured - transferMsPerToken);
        }
    }

    /** Records that a target restarted and lost its prompt cache. */
    public void recordRestart(TargetId target) {
        estimate(target).recordRestart(now());
    }

    /**
     * Records a cache event. Events are delayed and may be lost; a lost event is assumed to have
     * stored as many tokens as the average one.
     *
     * @param sequence number of the event within the run of the target
     * @param tokens tokens stored
     */
    public void recordStoredEvent(TargetId target, long sequence, long tokens) {
        estimate(target).recordStoredEvent(sequence, tokens, now());
    }

    /** Removes the estimates of a target that no longer exists. */
    void remove(TargetId target) {
        estimates.remove(target);
    }

    // ---- estimates

    /** Returns the expected time of a prefill in milliseconds. */
    double prefillMs(TargetId target, long tokens) {
        TargetEstimate estimate = estimates.get(target);
        return estimate == null
                ? tokens / DEFAULT_PREFILL_TOKENS_PER_MS
                : estimate.prefillMs(tokens, now());
    }

    /** Returns the expected time of a KV export and import in milliseconds. */
    double transferMs(long tokens) {
        return FIXED_TRANSFER_MS + tokens * transferMsPerToken;
    }

    /** Returns the moving average of recent waits at a target in milliseconds. */
    double waitMs(TargetId target) {
        TargetEstimate estimate = estimates.get(target);
        return estimate == null ? 0 : estimate.waitMs(now());
    }

    /**
     * Returns the estimated number of tokens of a chat in the cache of its target.
     *
     * @param cacheCapacity capacity of the target's prompt cache in tokens; 0 if unknown
     */
    public long cachedTokens(Placement placement, long cacheCapacity) {
        if (placement.cachedTokens() == 0 || placement.age().compareTo(MAX_PLACEMENT_AGE) > 0) {
            return 0;
        }
        TargetEstimate estimate = estimates.get(placement.target());
        if (estimate == null || cacheCapacity == 0) {
            return placement.cachedTokens();
        }
        double age = ms(placement.age());
        if (estimate.restartedSince(now() - age)) {
            return 0;
        }
        // An engine evicts the least recently used prefix, so the chat is evicted once as many
        // tokens as the cache can hold were stored after its last use.
        double storedSince = estimate.storedSince(now() - age, now(), daemons.getAsInt());
        long remaining = cacheCapacity - Math.round(storedSince);
        return Math.max(0, Math.min(placement.cachedTokens(), remaining));
    }

    private TargetEstimate estimate(TargetId target) {
        return estimates.computeIfAbsent(target, t -> new TargetEstimate());
    }

    private double now() {
        return ticker.nanos() / 1e6;
    }

    private static double ms(Duration d) {
        return d.toNanos() / 1e6;
    }

    /** Estimates of one target. Times are in milliseconds. */
    private static final class TargetEstimate {
        private double tokensPerMs = DEFAULT_PREFILL_TOKENS_PER_MS;
        private double fixedDelayMs;
        private double speedMeasuredAt = Double.NEGATIVE_INFINITY;
        private double waitMs;
        private double waitMeasuredAt;
        private double restartedAt = Double.NEGATIVE_INFINITY;
        private final CacheTurnover ownTurnover = new CacheTurnover();
        private final CacheTurnover eventTurnover = new CacheTurnover();
        private long lastSequence;
        private double meanEventTokens;

        synchronized void recordResponse(
                long uncachedTokens, long completionTokens, double timeToFirstTokenMs, double now) {
            if (uncachedTokens >= MIN_SPEED_SAMPLE_TOKENS && timeToFirstTokenMs > 0) {
                double measured = uncachedTokens / Math.max(1, timeToFirstTokenMs - fixedDelayMs);
                tokensPerMs += EWMA_WEIGHT * (measured - tokensPerMs);
            } else if (timeToFirstTokenMs > 0) {
                fixedDelayMs += EWMA_WEIGHT * (timeToFirstTokenMs - fixedDelayMs);
            }
            speedMeasuredAt = now;
            ownTurnover.add((double) (uncachedTokens + completionTokens), now);
        }

        synchronized void recordWait(double ms, double now) {
            waitMs = waitMs(now);
            waitMs += EWMA_WEIGHT * (ms - waitMs);
            waitMeasuredAt = now;
        }

        synchronized double waitMs(double now) {
            return waitMs * Math.pow(0.5, (now - waitMeasuredAt) / WAIT_HALF_LIFE_MS);
        }

        synchronized double prefillMs(long tokens, double now) {
            if (now - speedMeasuredAt > MAX_SPEED_AGE_MS) {
                return tokens / DEFAULT_PREFILL_TOKENS_PER_MS;
            }
            return fixedDelayMs + tokens / tokensPerMs;
        }

        synchronized void recordRestart(double now) {
            restartedAt = now;
            lastSequence = 0;
        }

        synchronized boolean restartedSince(double time) {
            return restartedAt >= time;
        }

        synchronized void recordStoredEvent(long sequence, long tokens, double now) {
            if (sequence <= lastSequence) {
                return;
            }
            long lostEvents = lastSequence == 0 ? 0 : sequence - lastSequence - 1;
            lastSequence = sequence;
            meanEventTokens += EWMA_WEIGHT * (tokens - meanEventTokens);
            eventTurnover.add(tokens + lostEvents * meanEventTokens, now);
        }

        /** Returns the tokens that all daemons stored in the cache since an instant. */
        synchronized double storedSince(double time, double now, int daemonCount) {
            return Math.max(
                    ownTurnover.since(time, now) * daemonCount, eventTurnover.since(time, now));
        }
    }

    /** Tokens stored in a cache over time, with a resolution of {@value #STEP_MS} ms. */
    private static final class CacheTurnover {
        private static final int MAX_STEPS = 64;
        private static final double STEP_MS = 4_000;

        private final double[] times = new double[MAX_STEPS];
        private final double[] totals = new double[MAX_STEPS];
        private int count;
        private double total;

        void add(double amount, double now) {
            if (count == 0 || now - times[(count - 1) % MAX_STEPS] >= STEP_MS) {
                times[count % MAX_STEPS] = now;
                totals[count % MAX_STEPS] = total;
                count++;
            }
            total += amount;
        }

        /**
         * Returns the tokens stored since an instant; extrapolates for instants before the first
         * sample.
         */
        double since(double time, double now) {
            int oldest = Math.max(0, count - MAX_STEPS);
            for (int i = count - 1; i >= oldest; i--) {
                if (times[i % MAX_STEPS] <= time) {
                    return total - totals[i % MAX_STEPS];
                }
            }
            if (count <= MAX_STEPS) {
                return total;
            }
            double stored = total - totals[oldest % MAX_STEPS];
            double start = times[oldest % MAX_STEPS];
            return stored * (1 + (start - time) / Math.max(STEP_MS, now - start));
        }
    }
}
