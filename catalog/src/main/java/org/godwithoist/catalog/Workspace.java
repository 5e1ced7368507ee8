package org.godwithoist.catalog;

import java.util.OptionalInt;
import org.godwithoist.core.id.WorkspaceId;

/**
 * A customer with API keys.
 *
 * @param id name of the workspace
 * @param priority priority of its requests, which overrides that of the route; empty if not set
 */
public record Workspace(WorkspaceId id, OptionalInt priority) {}
