package org.godwithoist.core.json;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Collects validation errors so that they are reported together. Not thread-safe. */
public final class Findings {
    private final List<Finding> list = new ArrayList<>();

    /** Adds a validation error; does not end the validation. */
    public void add(Place place, String message) {
        list.add(new Finding(place, message));
    }

    /** Returns whether no error was found. */
    public boolean isEmpty() {
        return list.isEmpty();
    }

    /** Returns the errors in the order in which they were found. */
    public List<Finding> list() {
        return List.copyOf(list);
    }

    /**
     * Ends the validation.
     *
     * @throws FindingsException with all errors if there are any
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
