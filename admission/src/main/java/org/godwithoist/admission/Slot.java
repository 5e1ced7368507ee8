package org.godwithoist.admission;

import java.time.Duration;
import org.godwithoist.core.id.TargetId;

/**
 * Permission to send one request to one target. Must be released exactly once; later calls do
 * nothing.
 */
public interface Slot {
    /** Returns the target. */
    TargetId target();

    /**
     * Marks the slot as used; must be called right before the first byte is sent.
     *
     * @return false if the slot expired before use; nothing may be sent then
     */
    boolean use();

    /**
     * Gives the slot back after the target ended the work.
     *
     * @param outcome how the work ended; feeds the warm-up of the target
     * @param firstToken time to the first token or to the answer; zero if there was none
     */
    void release(Outcome outcome, Duration firstToken);

    /** How the work of a slot ended. */
    enum Outcome {
        /** Nothing was sent. */
        UNUSED(false),
        /** The target answered. */
        COMPLETED(true),
        /** The target failed or was silent. */
        FAILED(false),
        /** The caller or the daemon cancelled. */
        CANCELLED(false);

        private final boolean speedKnown;

        Outcome(boolean speedKnown) {
            this.speedKnown = speedKnown;
        }

        /** Returns whether the first-token time of this outcome tells the target's speed. */
        public boolean speedKnown() {
            return speedKnown;
        }
    }
}
