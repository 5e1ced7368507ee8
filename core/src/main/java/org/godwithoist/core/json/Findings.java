package org.godwithoist.core.json;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Collects validation errors so that they are reported together. Not thread-safe. */
public final class Findings {
    private final List<Finding> findings = new ArrayList<>();

    /** Adds a validation error; does not end the validation. */
    public void add(SourceLocation location, String message) {
        findings.add(new Finding(location, message));
    }

    /** Returns whether no error was found. */
    public boolean isEmpty() {
        return findings.isEmpty();
    }

    /** Returns the errors in the order in which they were found. */
    public List<Finding> findings() {
        return List.copyOf(findings);
    }

    /**
     * Ends the validation.
     *
     * @throws FindingsException with all errors if there are any
     */
    public void throwIfAny() {
        if (!findings.isEmpty()) {
            throw new FindingsException(findings());
        }
    }

    @Override
    public String toString() {
        return findings.stream().map(Finding::toString).collect(Collectors.joining("\n"));
    }
}
