package org.godwithoist.targets;

import java.util.ArrayList;
import java.util.List;

/**
 * The candidates of a request in the order in which they are tried. The first one mostly gets the
 * request, so each is searched for when it is needed, and the list is not sorted. Not thread-safe.
 */
final class CandidateOrder {
    private final List<Candidate> remaining;

    CandidateOrder(List<Candidate> candidates) {
        remaining = new ArrayList<>(candidates);
    }

    boolean isEmpty() {
        return remaining.isEmpty();
    }

    /** Removes and returns the first of the remaining candidates; there must be one. */
    Candidate next() {
        int first = 0;
        for (int i = 1; i < remaining.size(); i++) {
            if (remaining.get(i).isBefore(remaining.get(first))) {
                first = i;
            }
        }
        return remaining.remove(first);
    }
}
