package org.godwithoist.admission;

import java.util.Optional;
import org.godwithoist.core.id.TargetId;

/** Provides the latest load report of each target. Thread-safe. */
@FunctionalInterface
public interface TargetLoadReports {
    /** Source without reports, for pools whose targets do not report their load. */
    TargetLoadReports NONE = t -> Optional.empty();

    /** Returns the latest report of a target; empty if this daemon has none. */
    Optional<TargetLoadReport> latest(TargetId target);
}
