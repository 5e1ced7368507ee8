package org.godwithoist.orders;

import java.util.List;
import org.godwithoist.core.id.HostId;

/**
 * Encodes a lease record in the table service as text: holder, epoch and renewal, separated by
 * spaces.
 */
final class OrderRows {
    private static final int FIELD_COUNT = 3;

    private OrderRows() {}

    static String encode(OrderLease.LeaseRecord r) {
        return r.holder() + " " + r.epoch() + " " + r.renewal();
    }

    /**
     * Parses a record.
     *
     * @throws IllegalArgumentException if the text does not have this format
     */
    static OrderLease.LeaseRecord decode(String text) {
        List<String> fields = List.of(text.split(" ", -1));
        if (fields.size() != FIELD_COUNT) {
            throw new IllegalArgumentException(
                    "order lease record must have the 3 fields holder, epoch and renewal, found "
                            + fields.size());
        }
        return new OrderLease.LeaseRecord(
                new HostId(fields.get(0)),
                Long.parseLong(fields.get(1)),
                Long.parseLong(fields.get(2)));
    }
}
