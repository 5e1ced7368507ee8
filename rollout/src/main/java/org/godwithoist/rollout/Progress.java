package org.godwithoist.rollout;

/**
 * How far an order has got, as its leader states it.
 *
 * @param term fencing number of the leader's lease
 * @param step number of the step; each change of the share or the state is a new step
 * @param share share of the service's traffic that goes to the canary, from 0 to 1
 * @param state state of the order
 */
public record Progress(long term, int step, double share, RolloutState state) {
    /** Progress of an order that no leader has taken up. */
    public static final Progress NONE = new Progress(0, 0, 0, RolloutState.IN_PROGRESS);

    /**
     * Validates the progress.
     *
     * @throws IllegalArgumentException if the share is not between 0 and 1, or a number is negative
     */
    public Progress {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("the share must be from 0 to 1, not " + share);
        }
        if (term < 0 || step < 0) {
            throw new IllegalArgumentException(
                    "term and step must not be negative: " + term + ", " + step);
        }
    }

    /** Returns the following step at another share. */
    public Progress raisedTo(double nextShare) {
        return new Progress(term, step + 1, nextShare, state);
    }

    /** Returns the following step, in which the order is completed. */
    public Progress completed() {
        return new Progress(term, step + 1, 1, RolloutState.COMPLETED);
    }

    /** Returns the following step, in which the order is reverted. */
    public Progress reverted() {
        return new Progress(term, step + 1, 0, RolloutState.REVERTED);
    }

    /** Returns this progress under a new leader's lease; a step of its own. */
    public Progress inTerm(long newTerm) {
        return new Progress(newTerm, step + 1, share, state);
    }

    /**
     * Returns the progress in force after another one was received. A terminal state is final, also
     * against a later term, because the platform has already stopped targets on it. Otherwise the
     * higher term wins, then the higher step.
     */
    public Progress mergedWith(Progress other) {
        if (state.isTerminal()) {
            return this;
        }
        if (other.state.isTerminal()) {
            return other;
        }
        boolean newer = other.term > term || (other.term == term && other.step > step);
        return newer ? other : this;
    }
}
