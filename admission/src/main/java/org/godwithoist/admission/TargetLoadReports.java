package org.godwithoist.admission;

import java.util.Optional;
import org.godwithoist.core.id.TargetId;

/** The last load report of each target, as far as this daemon has one. Thread-safe. */
@FunctionalInterface
public interface TargetLoadReports {
    /** Source for pools whose targets report no load. */
    TargetLoadReports NONE = t -> Optional.empty();

    /** Returns the last report of a target. */
    Optional<TargetLoadReport> latest(TargetId target);
}
