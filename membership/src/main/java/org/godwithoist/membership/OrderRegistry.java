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
 * The orders that this daemon holds: for each subject the one with the highest stamp. Merging is
 * commutative and repeatable, so it does not matter in which order and how often orders arrive.
 * Thread-safe.
 */
public final class OrderRegistry {
    private record Entry(Order order, long revision) {}

    /**
     * The orders at one moment.
     *
     * @param orders orders by subject
     * @param digest equal at two daemons if they hold the same orders
     * @param revision grows with each change of this book
     */
    public record Snapshot(List<Order> orders, long digest, long revision) {}

    private final HostId self;
    private final Map<OrderSubject, Entry> entries = new TreeMap<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private long lamportClock;
    private long digest;
    private long revision;

    /**
     * Makes an empty book.
     *
     * @param self host that stamps the orders given here
     */
    public OrderRegistry(HostId self) {
        this.self = self;
    }

    /** Adds a listener that runs after each change, in the thread that made the change. */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    /** Gives an order here, with a stamp higher than every stamp seen so far. */
    public Order issue(OrderSubject subject, OrderState state, OperatorName operator) {
        Order order;
        synchronized (this) {
            order = new Order(subject, state, new OrderStamp(lamportClock + 1, self), operator);
            put(order);
        }
        listeners.forEach(Runnable::run);
        return order;
    }

    /** Merges orders from a peer or the store; those that supersede what is held here are kept. */
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

    /** Returns all orders. */
    public synchronized Snapshot snapshot() {
        return new Snapshot(entries.values().stream().map(Entry::order).toList(), digest, revision);
    }

    /** Returns the orders given at this host that came after a revision. */
    public synchronized List<Order> localOrdersSince(long since) {
        return entries.values().stream()
                .filter(e -> e.revision() > since && e.order().stamp().host().equals(self))
                .map(Entry::order)
                .toList();
    }

    /** Returns the orders that came after a revision. */
    public synchronized List<Order> ordersSince(long since) {
        return entries.values().stream()
                .filter(e -> e.revision() > since)
                .map(Entry::order)
                .toList();
    }

    /** Returns the order in force for a subject. */
    public synchronized Optional<Order> find(OrderSubject subject) {
        return Optional.ofNullable(entries.get(subject)).map(Entry::order);
    }

    /** Returns the digest of all orders. */
    public synchronized long digest() {
        return digest;
    }

    /** Returns whether the host itself or its failure domain is ordered out. */
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
