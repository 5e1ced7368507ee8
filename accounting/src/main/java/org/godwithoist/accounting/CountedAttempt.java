package org.godwithoist.accounting;

/**
 * Attempt whose usage is known.
 *
 * @param ordinal position in the order in which attempts of the chain were closed, from 1 without
 *     gaps
 * @param attempt the closed attempt
 * @param usage usage counted by the target
 */
public record CountedAttempt(long ordinal, Attempt attempt, Usage usage) {}
