package org.godwithoist.overload;

/**
 * Demand of one workspace for a service, in slots: the requests that would be in progress if none
 * waited or were refused.
 *
 * @param current demand in about the last second
 * @param usual long-term average of the demand while capacity was sufficient
 * @param inProgress requests in progress
 */
public record Demand(double current, double usual, int inProgress) {
    /** No demand. */
    public static final Demand NONE = new Demand(0, 0, 0);

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is negative or not finite
     */
    public Demand {
        if (!isValid(current) || !isValid(usual) || inProgress < 0) {
            throw new IllegalArgumentException(
                    "invalid demand: " + current + ", usual " + usual + ", runs " + inProgress);
        }
    }

    private static boolean isValid(double value) {
        return value >= 0 && Double.isFinite(value);
    }

    /** Returns the sum of two demands. */
    public Demand plus(Demand other) {
        return new Demand(
                current + other.current, usual + other.usual, inProgress + other.inProgress);
    }

    /** Returns the difference of two demands; no value falls below 0. */
    public Demand minus(Demand other) {
        return new Demand(
                Math.max(0, current - other.current),
                Math.max(0, usual - other.usual),
                Math.max(0, inProgress - other.inProgress));
    }
}
