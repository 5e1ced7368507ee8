package org.godwithoist.daemon;

import io.smallrye.mutiny.Uni;
import org.godwithoist.admission.TargetLoadReport;
import org.godwithoist.membership.Target;

/** Reads load reports. Encodings implement it. */
public interface LoadClient {
    /** Reads the load report of a target. */
    Uni<TargetLoadReport> read(Target target);
}
