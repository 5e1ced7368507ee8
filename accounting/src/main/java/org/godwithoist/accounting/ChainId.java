package org.godwithoist.accounting;

import org.godwithoist.core.id.HostId;

/**
 * Identifies the chain of settlement rows of one run of a daemon. Each row replaces its
 * predecessor, so a chain has one current row.
 *
 * @param daemon daemon whose requests are settled
 * @param incarnation incarnation of the daemon in that run
 */
public record ChainId(HostId daemon, long incarnation) {}
