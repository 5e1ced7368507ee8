package org.godwithoist.accounting;

/**
 * An attempt whose count is known.
 *
 * @param ordinal number of the attempt in the order of closing, from 1 without gaps in one chain
 * @param attempt the attempt
 * @param usage what the target counted
 */
public record CountedAttempt(long ordinal, Attempt attempt, Usage usage) {}
