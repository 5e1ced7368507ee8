package org.godwithoist.accounting;

/**
 * Usage of a workspace that no settlement row includes yet.
 *
 * @param counted usage of counted attempts
 * @param open number of attempts without a count
 */
public record UnsettledUsage(Usage counted, long open) {
    /** No unsettled attempts. */
    public static final UnsettledUsage NONE = new UnsettledUsage(Usage.NONE, 0);

    /** Returns the sum of both values in each field. */
    public UnsettledUsage plus(UnsettledUsage other) {
        return new UnsettledUsage(counted.plus(other.counted), open + other.open);
    }
}
