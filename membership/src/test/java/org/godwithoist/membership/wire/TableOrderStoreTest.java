package org.godwithoist.membership.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.membership.Order;
import org.godwithoist.membership.OrderStamp;
import org.godwithoist.membership.OrderState;
import org.godwithoist.membership.OrderSubject;
import org.godwithoist.store.StoreUnavailableException;
import org.godwithoist.store.Table;
import org.godwithoist.store.Write;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TableOrderStoreTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final FakeTableStore tables = new FakeTableStore();
    private final TableOrderStore store = new TableOrderStore(tables);
    private final Order first = order(OrderState.OUT, 1);
    private final Order second = order(OrderState.IN, 2);

    private static Order order(OrderState state, long time) {
        return new Order(
                OrderSubject.parse("domain:a"),
                state,
                new OrderStamp(time, new HostId("h1")),
                new OperatorName("anna"));
    }

    @Nested
    class LostResponses {
        /** Guards against an order written twice because the response to its write was lost. */
        @Test
        void writtenOrderIsFoundByReadingAgain() {
            tables.faultNextCommit(StoreFault.ANSWER_LOST);
            assertEquals(first, store.write(first, TIMEOUT));
            assertEquals(List.of(first), store.read(TIMEOUT));
            assertEquals(1, tables.writes());
        }

        /** Guards against an order treated as written although the request was lost. */
        @Test
        void lostRequestIsRetried() {
            tables.faultNextCommit(StoreFault.REQUEST_LOST);
            assertEquals(first, store.write(first, TIMEOUT));
            assertEquals(List.of(first), store.read(TIMEOUT));
        }

        /** Guards against an unlimited number of attempts. */
        @Test
        void givesUpAfterTheMaximumNumberOfAttempts() {
            for (int i = 0; i < 5; i++) {
                tables.faultNextCommit(StoreFault.REQUEST_LOST);
            }
            assertThrows(StoreUnavailableException.class, () -> store.write(first, TIMEOUT));
        }
    }

    @Nested
    class RacingOrders {
        /** Guards against an older order that overwrites a newer one. */
        @Test
        void higherStampStays() {
            store.write(second, TIMEOUT);
            assertEquals(second, store.write(first, TIMEOUT));
            assertEquals(List.of(second), store.read(TIMEOUT));
        }

        /** Guards against a newer order that is blocked by an older one. */
        @Test
        void lowerStampIsReplaced() {
            store.write(first, TIMEOUT);
            assertEquals(second, store.write(second, TIMEOUT));
            assertEquals(List.of(second), store.read(TIMEOUT));
        }
    }

    @Nested
    class InvalidRow {
        /** Guards against one invalid row that hides all other orders. */
        @Test
        void isSkippedAndReplaced() {
            for (String key : List.of("domain:a", "nonsense")) {
                tables.commit(List.of(Write.put(Table.DOMAIN_ORDER, key, "{\"state\":1}"))).join();
            }
            assertEquals(List.of(), store.read(TIMEOUT));
            assertEquals(first, store.write(first, TIMEOUT));
            assertEquals(List.of(first), store.read(TIMEOUT));
        }
    }
}
