package org.godwithoist.loadtool.admission;

/** Cause of a cache miss: why history was not cached by the engine that served a turn. */
enum CacheMissCause {
    /** No engine had these tokens cached: they were evicted, or the previous turn had not ended. */
    IN_NO_CACHE,
    /** The first choice was not the engine with the most cached history. */
    ASKED_ELSEWHERE,
    /** No owner granted slots at the time. */
    NO_OWNER,
    /** The engine's actual load had reached its warm-up limit or the skew bound of section 5.2. */
    TRUE_BOUND,
    /** The load had reached the owner's limit, a conservative estimate of the skew bound. */
    OWNERS_ESTIMATE,
    /** Under the owner's limit, only reserved slots were free. */
    RESERVED,
    /** The owner still counted slots that were already free, or was about to grant one. */
    LEFT_EARLY;

    /**
     * Determines why an engine had no slot.
     *
     * @param load actual number of requests in progress
     * @param bound smaller of the skew bound and the warm-up limit, from the actual loads
     * @param limit the owner's limit, or -1 without an owner
     * @param reserved number of reserved slots of the engine
     */
    static CacheMissCause of(int load, int bound, int limit, int reserved) {
        if (limit < 0) {
            return NO_OWNER;
        }
        if (load >= bound) {
            return TRUE_BOUND;
        }
        if (load >= limit) {
            return OWNERS_ESTIMATE;
        }
        return load >= limit - reserved ? RESERVED : LEFT_EARLY;
    }
}
