package org.godwithoist.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.OperatorName;

/**
 * Operator orders that this daemon holds: for each subject the one with the highest stamp. Merging
 * is commutative and idempotent, so the sequence and the number of deliveries do not matter.
 * Thread-safe.
 */
public final class OrderRegistry {
    private record Entry(Order order, long revision) {}

    /**
     * Immutable view of the orders.
     *
     * @param orders orders by subject
     * @param digest equal at two daemons if they hold the same orders
     * @param revision local revision, which increases with each change of this registry
     */
    public record Snapshot(List<Order> orders, long digest, long revision) {}

    private final HostId self;
    private final Map<OrderSubject, Entry> entries = new TreeMap<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private long lamportClock;
    private long digest;
    private long revision;

    /**
     * Creates an empty registry.
     *
     * @param self host in the stamps of orders issued here
     */
    public OrderRegistry(HostId self) {
        this.self = self;
    }

    /**
     * Adds a listener that runs after each change, in the thread that made the change and without
     * the lock.
     */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    /** Issues an order here, with a stamp higher than every stamp seen so far. */
    public Order issue(OrderSubject subject, OrderState state, OperatorName operator) {
        Order order;
        synchronized (this) {
            order = new Order(subject, state, new OrderStamp(lamportClock + 1, self), operator);
            put(order);
        }
        listeners.forEach(Runnable::run);
        return order;
    }

    /**
     * Merges orders from a peer or the store. An order is kept if it supersedes the one held here.
     */
    public void merge(Collection<Order> received) {
        boolean changed = false;
        synchronized (this) {
            for (Order order : received) {
                Entry entry = entries.get(order.subject());
                if (entry == null || order.supersedes(entry.order())) {
                    put(order);
                    changed = true;
                }
            }
        }
        if (changed) {
            listeners.forEach(Runnable::run);
        }
    }

    private void put(Order order) {
        revision++;
        lamportClock = Math.max(lamportClock, order.stamp().time());
        Entry old = entries.put(order.subject(), new Entry(order, revision));
        digest ^= hash(order) ^ (old == null ? 0 : hash(old.order()));
    }

    /** Returns the current orders with their digest and revision. */
    public synchronized Snapshot snapshot() {
        return new Snapshot(entries.values().stream().map(Entry::order).toList(), digest, revision);
    }

    /** Returns the orders issued at this host that were added after a local revision. */
    public synchronized List<Order> localOrdersSince(long since) {
        return entries.values().stream()
                .filter(e -> e.revision() > since && e.order().stamp().host().equals(self))
                .map(Entry::order)
                .toList();
    }

    /** Returns the orders that were added after a local revision. */
    public synchronized List<Order> ordersSince(long since) {
        return entries.values().stream()
                .filter(e -> e.revision() > since)
                .map(Entry::order)
                .toList();
    }

    /** Returns the order in force for a subject; empty if there is none. */
    public synchronized Optional<Order> find(OrderSubject subject) {
        return Optional.ofNullable(entries.get(subject)).map(Entry::order);
    }

    /**
     * Returns the digest of all orders, which is equal at two daemons if they hold the same orders.
     */
    public synchronized long digest() {
        return digest;
    }

    /** Returns whether an order takes the host itself or its failure domain out of service. */
    public synchronized boolean isOutOfService(HostId host, FailureDomainId domain) {
        return isOutOfService(OrderSubject.of(host)) || isOutOfService(OrderSubject.of(domain));
    }

    private boolean isOutOfService(OrderSubject subject) {
        Entry entry = entries.get(subject);
        return entry != null && !entry.order().state().acceptsWork();
    }

    private static long hash(Order o) {
        return Hash64.of(
                (o.subject() + " " + o.state() + " " + o.stamp() + " " + o.operator())
                        .getBytes(StandardCharsets.UTF_8));
    }
}
