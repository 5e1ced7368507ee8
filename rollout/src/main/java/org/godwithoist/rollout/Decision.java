package org.godwithoist.rollout;

/**
 * What the policy decided.
 *
 * @param next progress from now on; the present one if nothing changes
 * @param reason why, with the figures that decided, for the log
 */
public record Decision(Progress next, String reason) {}
