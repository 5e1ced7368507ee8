package org.godwithoist.targets;

import java.util.Optional;

/**
 * A target that may get a request, and the values that decide its position, read once so that they
 * agree.
 *
 * @param load estimated requests at the target
 * @param bound load from which the target is passed over; infinite if there is none
 * @param slow whether the target responds much more slowly than the others of its service
 * @param full whether the request needs more memory than the target has left
 * @param likelier whether the request is likelier to meet its objective at this target than at the
 *     first one by rank
 * @param rank candidates with a higher rank come first
 * @param outlook what the request has to expect; empty if the work of the target did not matter
 */
record Candidate(
        Target target,
        double load,
        double bound,
        boolean slow,
        boolean full,
        boolean likelier,
        double rank,
        Optional<Outlook> outlook) {
    /** Creates a candidate of which only the requests are known. */
    Candidate(Target target, double load, double bound, boolean slow, double rank) {
        this(target, load, bound, slow, false, false, rank, Optional.empty());
    }

    /** Returns this candidate with what the request has to expect. */
    Candidate with(Outlook known) {
        return new Candidate(target, load, bound, slow, full, likelier, rank, Optional.of(known));
    }

    /** Returns this candidate, without memory for the request. */
    Candidate fill() {
        return new Candidate(target, load, bound, slow, true, likelier, rank, outlook);
    }

    /** Returns this candidate, likelier to meet the objective than the first one by rank. */
    Candidate prefer() {
        return new Candidate(target, load, bound, slow, full, true, rank, outlook);
    }

    /** Returns whether the target is tried only after all that are neither slow nor overloaded. */
    boolean passedOver() {
        return slow || load >= bound;
    }

    /**
     * Returns whether this candidate is tried before another one: first those that are not passed
     * over, by descending rank, then the others, by ascending load. Among each of them, those
     * without the memory for the request come last: the memory is an estimate, while a target must
     * not carry well over the mean load. Those that are likelier to meet the objective come first
     * among their like.
     */
    boolean isBefore(Candidate other) {
        if (passedOver() != other.passedOver()) {
            return other.passedOver();
        }
        if (full != other.full) {
            return other.full;
        }
        if (likelier != other.likelier) {
            return likelier;
        }
        if (passedOver() && load != other.load) {
            return load < other.load;
        }
        return rank > other.rank;
    }
}
