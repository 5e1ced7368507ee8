package org.godwithoist.overload;

import java.util.Optional;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.targets.PrefixKey;

/**
 * Identifies a workspace in messages between daemons. A hash takes 8 bytes instead of up to 100 for
 * the name, so that the demand of many workspaces fits into one message.
 *
 * @param hash 64-bit hash of the workspace's name
 */
public record WorkspaceKey(long hash) {
    /** Requests of routes with public access, which belong to no workspace. */
    public static final WorkspaceKey PUBLIC = new WorkspaceKey(0);

    /** All workspaces together that a report does not list by themselves. */
    public static final WorkspaceKey OTHERS = new WorkspaceKey(1);

    /** Returns the key of a workspace; {@link #PUBLIC} if there is none. */
    public static WorkspaceKey of(Optional<WorkspaceId> workspace) {
        return workspace.map(w -> new WorkspaceKey(PrefixKey.of(w.value()).hash())).orElse(PUBLIC);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof WorkspaceKey o && hash == o.hash;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(hash);
    }
}
