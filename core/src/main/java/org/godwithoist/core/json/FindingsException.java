package org.godwithoist.core.json;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for an invalid file; carries all validation errors. */
public final class FindingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Finding> findings;

    /** Creates an exception whose message has one line for each error. */
    public FindingsException(List<Finding> findings) {
        super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
        this.findings = List.copyOf(findings);
    }

    /** Returns the errors in the order in which they were found. */
    public List<Finding> findings() {
        return findings;
    }
}
