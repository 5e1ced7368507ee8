package org.godwithoist.membership;

import java.util.Comparator;
import org.godwithoist.core.id.HostId;

/**
 * Lamport timestamp of an order.
 *
 * @param time Lamport time, at least 1
 * @param host host at which the order was issued; breaks ties between equal times
 */
public record OrderStamp(long time, HostId host) implements Comparable<OrderStamp> {
    /**
     * Maximum time. Half of the range stays free, so that no received stamp can overflow the clock.
     */
    public static final long MAX_TIME = Long.MAX_VALUE >> 1;

    private static final Comparator<OrderStamp> COMPARATOR =
            Comparator.comparingLong(OrderStamp::time).thenComparing(OrderStamp::host);

    /**
     * Creates a stamp.
     *
     * @throws IllegalArgumentException if the time is out of range
     */
    public OrderStamp {
        if (time < 1 || time > MAX_TIME) {
            throw new IllegalArgumentException(
                    "time of an order stamp must be from 1 to " + MAX_TIME + ", got " + time);
        }
    }

    @Override
    public int compareTo(OrderStamp other) {
        return COMPARATOR.compare(this, other);
    }
}
