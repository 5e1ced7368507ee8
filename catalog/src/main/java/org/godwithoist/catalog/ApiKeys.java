package org.godwithoist.catalog;

import java.util.Map;
import java.util.Optional;

/**
 * The API keys of a catalog. Immutable. Whether requests need a key is stated apart from the keys,
 * because a deployment whose last key was revoked still requires one.
 *
 * @param required whether requests need a key, except on routes with public access
 * @param workspaces workspace of each key
 */
public record ApiKeys(boolean required, Map<ApiKey, Workspace> workspaces) {
    /** Keys of a deployment without workspaces, which serves requests without a key. */
    public static final ApiKeys NOT_REQUIRED = new ApiKeys(false, Map.of());

    /** Copies the map. */
    public ApiKeys {
        workspaces = Map.copyOf(workspaces);
    }

    /**
     * Returns the keys of a deployment with workspaces.
     *
     * @param workspaces workspace of each key; if it is empty, every key is unknown
     */
    public static ApiKeys required(Map<ApiKey, Workspace> workspaces) {
        return new ApiKeys(true, workspaces);
    }

    /** Returns the workspace of a key; empty if the key is unknown. */
    public Optional<Workspace> workspace(ApiKey key) {
        return Optional.ofNullable(workspaces.get(key));
    }
}
