package org.godwithoist.accounting;

/**
 * The current row of a chain as read from the store.
 *
 * @param row the row; {@link ChainRow#none} if the chain has none
 * @param version version of the row in the store; 0 if there is none
 */
public record StoredRow(ChainRow row, long version) {}
