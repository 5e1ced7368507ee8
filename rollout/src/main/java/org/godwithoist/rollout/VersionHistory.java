package org.godwithoist.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.godwithoist.targets.SoftwareVersion;

/**
 * Outcomes of the earlier orders of a service, which a daemon that starts needs when their rows are
 * gone.
 *
 * @param completed version that was completed last; empty if none was
 * @param reverted versions that were reverted and not completed since, the latest one last
 */
public record VersionHistory(Optional<SoftwareVersion> completed, List<SoftwareVersion> reverted) {
    /** Reverted versions that are kept; bounds the size of the row. */
    public static final int MAX_REVERTED = 16;

    /** History of a service without orders. */
    public static final VersionHistory NONE = new VersionHistory(Optional.empty(), List.of());

    /** Makes the list immutable. */
    public VersionHistory {
        reverted = List.copyOf(reverted);
    }

    /** Returns the history after an order for a version has reached a state. */
    public VersionHistory with(SoftwareVersion to, RolloutState state) {
        if (!state.isTerminal()) {
            return this;
        }
        List<SoftwareVersion> others = new ArrayList<>(reverted);
        others.remove(to);
        if (state == RolloutState.COMPLETED) {
            return new VersionHistory(Optional.of(to), others);
        }
        others.add(to);
        int excess = Math.max(0, others.size() - MAX_REVERTED);
        return new VersionHistory(completed, others.subList(excess, others.size()));
    }
}
