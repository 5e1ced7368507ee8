package org.godwithoist.loadtool.admission;

/** Why history was not found in the cache of the engine that served a turn. */
enum LossCause {
    /** No engine had the rest of the history: it was evicted, or the turn before had not ended. */
    IN_NO_CACHE,
    /** The turn asked another engine first. */
    ASKED_ELSEWHERE,
    /** No owner granted slots at that time. */
    NO_OWNER,
    /** The engine's own count had reached the bound of design section 5.2. */
    TRUE_BOUND,
    /** The owner's limit, which is a lower estimate of the bound, was reached. */
    OWNERS_ESTIMATE,
    /** Only the reserved slots were left under the owner's limit. */
    RESERVED,
    /** The owner had counted slots that were free again or was about to grant one. */
    LEFT_EARLY;

    /**
     * Returns why an engine had no slot.
     *
     * @param load requests in progress by the engine's own count
     * @param bound bound by the engines' own counts
     * @param limit owner's limit, or -1 without an owner
     * @param reserved reserved slots of the engine
     */
    static LossCause of(int load, int bound, int limit, int reserved) {
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
