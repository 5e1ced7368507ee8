package org.godwithoist.core.id;

/**
 * Identifies a workspace: a customer with API keys, a capacity share, limits and its own usage
 * account. Workspaces are defined by bundles.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 100;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public WorkspaceId {
        IdText.check("WorkspaceId", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
