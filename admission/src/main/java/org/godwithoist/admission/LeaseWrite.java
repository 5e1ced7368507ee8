package org.godwithoist.admission;

/**
 * Conditional write of a lease.
 *
 * @param record new record
 * @param expectedVersion version that the row must have; 0 for an absent row
 * @param sentAt instant before the write is sent, in nanoseconds of the writer's ticker
 */
public record LeaseWrite(LeaseRecord record, long expectedVersion, long sentAt) {}
