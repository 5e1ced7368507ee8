package org.godwithoist.accounting;

/**
 * Usage of a workspace that no settlement row includes yet.
 *
 * @param counted usage of counted attempts
 * @param open number of attempts without a count
 */
public record UnsettledUse(Usage counted, long open) {
    /** No unsettled attempts. */
    public static final UnsettledUse NONE = new UnsettledUse(Usage.NONE, 0);

    /** Returns the sum of both values in each field. */
    public UnsettledUse plus(UnsettledUse other) {
        return new UnsettledUse(counted.plus(other.counted), open + other.open);
    }
}
