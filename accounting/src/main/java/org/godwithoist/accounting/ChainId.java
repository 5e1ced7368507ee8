package org.godwithoist.accounting;

import org.godwithoist.core.id.HostId;

/**
 * Identifies the settlement rows of one run of a daemon. Each row of a chain replaces the row
 * before it, so that a chain has one current row.
 *
 * @param daemon daemon whose requests are settled
 * @param incarnation number of its run
 */
public record ChainId(HostId daemon, long incarnation) {}
