package org.godwithoist.orders;

import java.util.List;
import org.godwithoist.core.id.HostId;

/** Text of lease records in the table service: holder, epoch and renewal, separated by spaces. */
final class OrderRows {
    private static final int FIELDS = 3;

    private OrderRows() {}

    static String encode(OrderLease.Holding r) {
        return r.holder() + " " + r.epoch() + " " + r.renewal();
    }

    /**
     * Reads a record.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    static OrderLease.Holding decode(String text) {
        List<String> fields = List.of(text.split(" ", -1));
        if (fields.size() != FIELDS) {
            throw new IllegalArgumentException("an order lease has 3 fields, not " + fields.size());
        }
        return new OrderLease.Holding(
                new HostId(fields.get(0)),
                Long.parseLong(fields.get(1)),
                Long.parseLong(fields.get(2)));
    }
}
