package org.godwithoist.admission;

import java.time.Duration;
import org.godwithoist.core.id.TargetId;

/**
 * Permission to send one request to one target. Must be released; calls after the first release
 * have no effect.
 */
public interface Slot {
    /** Returns the target for which the slot is valid. */
    TargetId target();

    /**
     * Marks the slot as used; must be called right before the first byte is sent.
     *
     * @return false if the slot expired before use or the target accepts no work; nothing may be
     *     sent then
     */
    boolean use();

    /**
     * Returns the slot after the target has finished the request.
     *
     * @param outcome how the request ended; input of the target's warm-up
     * @param timeToFirstToken time to the first token, or to the response; zero if there was none
     */
    void release(Outcome outcome, Duration timeToFirstToken);

    /** How the request that held a slot ended. */
    enum Outcome {
        /** Nothing was sent. */
        UNUSED(false),
        /** The target sent its response. */
        COMPLETED(true),
        /** The target failed or did not respond. */
        FAILED(false),
        /** The caller or the daemon cancelled the request. */
        CANCELLED(false);

        private final boolean measuresLatency;

        Outcome(boolean measuresLatency) {
            this.measuresLatency = measuresLatency;
        }

        /**
         * Returns whether the time to the first token of a request with this outcome measures the
         * response time of the target.
         */
        public boolean measuresLatency() {
            return measuresLatency;
        }
    }
}
