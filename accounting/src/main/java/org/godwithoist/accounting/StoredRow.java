package org.godwithoist.accounting;

/**
 * Current row of a chain as read from the store.
 *
 * @param row content of the row; {@link ChainRow#none} if the chain has no row
 * @param version version of the row in the store; 0 if the chain has no row
 */
public record StoredRow(ChainRow row, long version) {}
