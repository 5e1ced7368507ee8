package org.godwithoist.rollout;

/**
 * Identifies an order by the row that states it, so that a second order for the same version of the
 * same service is another order.
 *
 * @param era era of the store in which the row was written
 * @param version version of the row in that era
 */
public record OrderId(long era, long version) implements Comparable<OrderId> {
    @Override
    public int compareTo(OrderId other) {
        int byEra = Long.compare(era, other.era);
        return byEra != 0 ? byEra : Long.compare(version, other.version);
    }

    @Override
    public String toString() {
        return era + "." + version;
    }
}
