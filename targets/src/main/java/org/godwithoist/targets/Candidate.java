package org.godwithoist.targets;

/**
 * A target that may get a request, and the values that decide its position, read once so that they
 * agree.
 *
 * @param load estimated requests at the target
 * @param bound load from which the target is passed over; infinite if there is none
 * @param slow whether the target responds much more slowly than the others of its service
 * @param rank candidates with a higher rank come first
 */
record Candidate(Target target, double load, double bound, boolean slow, double rank) {
    private boolean passedOver() {
        return slow || load >= bound;
    }

    /**
     * Returns whether this candidate is tried before another one: first those that are not passed
     * over, by descending rank, then the others, by ascending load.
     */
    boolean isBefore(Candidate other) {
        if (passedOver() != other.passedOver()) {
            return other.passedOver();
        }
        if (passedOver() && load != other.load) {
            return load < other.load;
        }
        return rank > other.rank;
    }
}
