package org.godwithoist.bundle;

import java.util.List;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.WorkspaceId;

/**
 * A workspace.
 *
 * @param id the workspace
 * @param keyHashes lower-case hexadecimal SHA-256 hashes of its keys; several during rotation
 * @param share weight when targets are contended, at least 1
 * @param maxPriority highest priority its requests may ask for
 * @param maxConcurrent requests in progress that one daemon accepts from it
 */
public record Workspace(
        WorkspaceId id,
        List<String> keyHashes,
        int share,
        Priority maxPriority,
        int maxConcurrent) {
    /** Copies the list. */
    public Workspace {
        keyHashes = List.copyOf(keyHashes);
    }
}
