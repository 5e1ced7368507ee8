package org.godwithoist.targets;

/**
 * How fast the targets of one service respond while work takes its usual time, learnt from
 * responses to requests that found little other work: prompt tokens processed per millisecond, and
 * the time to the first byte of a request without prompt tokens to process. Thread-safe.
 */
public final class ServiceSpeed {
    /**
     * Prompt tokens per millisecond before the first response. A low value: it makes prefixes stay
     * where they are cached until the speed is known.
     */
    private static final double START_TOKENS_PER_MS = 50;

    private static final double MIN_TOKENS_PER_MS = 5;
    private static final double MAX_TOKENS_PER_MS = 2000;

    private static final double START_BASE_MS = 20;
    private static final double MIN_BASE_MS = 1;
    private static final double MAX_BASE_MS = 1000;

    /** Tokens from which the prefill determines most of the time to the first byte. */
    private static final long MIN_PREFILL_SAMPLE = 1000;

    /** Tokens up to which the prefill has little influence on the time to the first byte. */
    private static final long MAX_BASE_SAMPLE = 500;

    /** Part of the time to the first byte that the prefill takes at least. */
    private static final double MIN_PREFILL_SHARE = 0.3;

    private final MedianEstimate tokensPerMs =
            new MedianEstimate(START_TOKENS_PER_MS, MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS);
    private final MedianEstimate baseMs =
            new MedianEstimate(START_BASE_MS, MIN_BASE_MS, MAX_BASE_MS);

    /**
     * Records a response.
     *
     * @param prefill prompt tokens that the target processed for the request
     * @param usualMs time to the first byte, divided by how long work takes on the host
     */
    synchronized void record(long prefill, double usualMs) {
        if (prefill >= MIN_PREFILL_SAMPLE) {
            double prefillMs = Math.max(usualMs - baseMs.value(), MIN_PREFILL_SHARE * usualMs);
            tokensPerMs.record(prefill / prefillMs);
        } else if (prefill <= MAX_BASE_SAMPLE) {
            baseMs.record(usualMs - prefill / tokensPerMs.value());
        }
    }

    /** Returns the prompt tokens that a target processes per millisecond. */
    public double tokensPerMs() {
        return tokensPerMs.value();
    }

    /** Returns the time to the first byte without prompt tokens to process, in milliseconds. */
    public double baseMs() {
        return baseMs.value();
    }

    /** Returns the time to the first byte of a request that finds no other work. */
    synchronized double expectedMs(long prefill) {
        return baseMs.value() + prefill / tokensPerMs.value();
    }
}
