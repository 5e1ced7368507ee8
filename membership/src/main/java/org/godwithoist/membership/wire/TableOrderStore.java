package org.godwithoist.membership.wire;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.core.task.Await;
import org.godwithoist.membership.Order;
import org.godwithoist.membership.OrderStamp;
import org.godwithoist.membership.OrderState;
import org.godwithoist.membership.OrderStore;
import org.godwithoist.membership.OrderSubject;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.Row;
import org.godwithoist.store.StoreUnavailableException;
import org.godwithoist.store.Table;
import org.godwithoist.store.TableStore;
import org.godwithoist.store.Write;

/** Stores orders as JSON rows of table {@code domain_order}, one row for each subject. */
public final class TableOrderStore implements OrderStore {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    // An attempt fails if another daemon has changed the row since it was read, or if the response
    // to the write was lost.
    private static final int MAX_ATTEMPTS = 5;
    private static final int LOG_INTERVAL_SECONDS = 60;

    private final TableStore tables;

    /** Creates a store over the platform's tables. */
    public TableOrderStore(TableStore tables) {
        this.tables = tables;
    }

    @Override
    public List<Order> read(Duration timeout) {
        List<Order> orders = new ArrayList<>();
        for (Row row : Await.result(tables.scan(Table.DOMAIN_ORDER, ""), timeout)) {
            decode(row).ifPresent(orders::add);
        }
        return orders;
    }

    @Override
    public Order write(Order order, Duration timeout) {
        String key = order.subject().toString();
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            Optional<Row> row = Await.result(tables.read(Table.DOMAIN_ORDER, key), timeout);
            Optional<Order> stored = row.flatMap(TableOrderStore::decode);
            if (stored.isPresent() && !order.supersedes(stored.get())) {
                return stored.get();
            }
            long version = row.map(Row::version).orElse(Write.ABSENT);
            Write write = Write.replace(Table.DOMAIN_ORDER, key, version, encode(order));
            try {
                Await.result(tables.commit(List.of(write)), timeout);
                return order;
            } catch (ConditionFailedException | OutcomeUnknownException e) {
                LOG.atFine().withCause(e).log(
                        "the write of the order for %s failed or its outcome is unknown; reading"
                                + " the row again",
                        key);
            }
        }
        throw new StoreUnavailableException(
                "order for "
                        + key
                        + " could not be written in "
                        + MAX_ATTEMPTS
                        + " attempts: its row kept changing or the responses were lost");
    }

    private static String encode(Order o) {
        return new JsonObject()
                .put("state", o.state().wireName())
                .put("time", o.stamp().time())
                .put("host", o.stamp().host().value())
                .put("operator", o.operator().value())
                .encode();
    }

    private static Optional<Order> decode(Row row) {
        try {
            JsonObject o = new JsonObject(row.value());
            return Optional.of(
                    new Order(
                            OrderSubject.parse(row.key()),
                            OrderState.parse(o.getString("state")),
                            new OrderStamp(o.getLong("time"), new HostId(o.getString("host"))),
                            new OperatorName(o.getString("operator"))));
        } catch (RuntimeException e) {
            LOG.atWarning().withCause(e).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "skipping row %s of table domain_order, which is not a valid order", row.key());
            return Optional.empty();
        }
    }
}
