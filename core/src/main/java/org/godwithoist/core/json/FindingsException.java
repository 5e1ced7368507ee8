package org.godwithoist.core.json;

import java.util.List;
import java.util.stream.Collectors;

/** A file has faults; carries all of them. */
public final class FindingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Finding> findings;

    /** Makes the failure from all faults found. */
    public FindingsException(List<Finding> findings) {
        super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
        this.findings = List.copyOf(findings);
    }

    /** Returns the faults in the order in which they were found. */
    public List<Finding> findings() {
        return findings;
    }
}
