package org.godwithoist.bundle;

import java.util.List;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Workspace with its keys and limits.
 *
 * @param id id of the workspace
 * @param keyHashes SHA-256 hashes of its keys, lower-case hexadecimal; several during key rotation
 * @param share weight for sharing contended targets, at least 1
 * @param maxPriority highest priority that its requests may use
 * @param maxConcurrent maximum number of its requests in progress at one daemon
 */
public record Workspace(
        WorkspaceId id,
        List<String> keyHashes,
        int share,
        Priority maxPriority,
        int maxConcurrent) {
    /** Makes an unmodifiable copy of the list. */
    public Workspace {
        keyHashes = List.copyOf(keyHashes);
    }
}
