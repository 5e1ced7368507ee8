package org.godwithoist.membership;

import java.time.Duration;
import java.util.List;
import org.godwithoist.store.StoreUnavailableException;

/**
 * Operator orders in the platform's table {@code domain_order}. The methods block and must be
 * called from virtual threads.
 */
public interface OrderStore {
    /**
     * Reads all orders. Rows that cannot be parsed are skipped and logged.
     *
     * @throws StoreUnavailableException if the store does not respond
     */
    List<Order> read(Duration timeout);

    /**
     * Writes an order unless the store has one that supersedes it. If the response is lost, the row
     * is read again to determine the outcome.
     *
     * @return the order that is in the store afterwards
     * @throws StoreUnavailableException if the store does not respond or the attempts are exhausted
     */
    Order write(Order order, Duration timeout);
}
