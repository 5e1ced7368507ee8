package org.godwithoist.accounting;

/**
 * Use of a workspace that no settlement row contains yet.
 *
 * @param counted counted use that is not written yet
 * @param open attempts without a count
 */
public record UnsettledUse(Usage counted, long open) {
    /** Nothing unsettled. */
    public static final UnsettledUse NONE = new UnsettledUse(Usage.NONE, 0);

    /** Returns the sum. */
    public UnsettledUse plus(UnsettledUse other) {
        return new UnsettledUse(counted.plus(other.counted), open + other.open);
    }
}
