package org.godwithoist.daemon;

import io.smallrye.mutiny.Uni;
import org.godwithoist.admission.TargetLoadReport;
import org.godwithoist.membership.Target;

/** Reads load reports from targets; each wire protocol has its implementation. */
public interface TargetLoadClient {
    /** Reads the load report of a target; fails if the target does not respond. */
    Uni<TargetLoadReport> read(Target target);
}
