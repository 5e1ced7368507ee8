package org.godwithoist.core.json;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Collects faults so that they are reported together and not one at a time. */
public final class Findings {
    private final List<Finding> list = new ArrayList<>();

    /** Adds a fault. */
    public void add(Place place, String message) {
        list.add(new Finding(place, message));
    }

    /** Returns whether there is no fault. */
    public boolean isEmpty() {
        return list.isEmpty();
    }

    /** Returns the faults in the order in which they were found. */
    public List<Finding> list() {
        return List.copyOf(list);
    }

    /**
     * Ends the checks.
     *
     * @throws FindingsException with all faults if there are any
     */
    public void throwIfAny() {
        if (!list.isEmpty()) {
            throw new FindingsException(list());
        }
    }

    @Override
    public String toString() {
        return list.stream().map(Finding::toString).collect(Collectors.joining("\n"));
    }
}
