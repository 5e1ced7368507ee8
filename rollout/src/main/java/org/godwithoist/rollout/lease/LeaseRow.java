package org.godwithoist.rollout.lease;

import java.util.Optional;

/**
 * The row of a lease as the store returned it.
 *
 * @param record content; empty if there is no row, or none that can be read
 * @param version version of the row; 0 if there is none
 * @param nowMs the store's clock at the response
 */
public record LeaseRow(Optional<LeaseRecord> record, long version, long nowMs) {}
