package org.godwithoist.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Ticker;

/**
 * Directory of the placements that this daemon stores for the fleet. Its size is bounded; the least
 * recently used chat is evicted first. Thread-safe.
 */
public final class PlacementDirectory implements Placements {
    /**
     * Default number of chats per daemon. 8 million chats on 940 daemons are 8,500 per daemon; the
     * daemons of a small fleet store more each.
     */
    public static final int DEFAULT_CAPACITY = 100_000;

    /** Assumed delay of cache events, in nanoseconds. */
    static final long EVENT_DELAY_NANOS = Duration.ofSeconds(2).toNanos();

    private final int capacity;
    private final Ticker ticker;
    private final Map<ChatId, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty directory.
     *
     * @param capacity maximum number of chats
     */
    public PlacementDirectory(int capacity, Ticker ticker) {
        this.capacity = capacity;
        this.ticker = ticker;
    }

    @Override
    public synchronized Optional<Placement> lookup(ChatId chat) {
        Entry e = entries.get(chat);
        return e == null ? Optional.empty() : Optional.of(placement(e));
    }

    @Override
    public synchronized void report(ChatId chat, PlacementChange change) {
        Entry e = entries.get(chat);
        if (e == null && !change.kind().createsEntry()) {
            return;
        }
        if (e == null) {
            e = new Entry();
            entries.put(chat, e);
            evictLeastRecentlyUsed();
        }
        change.kind().apply(e, change, ticker.nanos());
    }

    /** Returns the number of stored chats; at most the capacity. */
    public synchronized int size() {
        return entries.size();
    }

    /** Chat with its placement. */
    public record ChatPlacement(ChatId chat, Placement placement) {}

    /**
     * Returns the chats cached at the matching targets, most recently used first.
     *
     * @param filter selects targets
     * @param limit maximum number of chats
     */
    public synchronized List<ChatPlacement> chatsCachedAt(Predicate<TargetId> filter, int limit) {
        List<ChatPlacement> found = new ArrayList<>();
        for (Map.Entry<ChatId, Entry> e : entries.entrySet()) {
            if (e.getValue().cachedTokens > 0 && filter.test(e.getValue().target)) {
                found.add(new ChatPlacement(e.getKey(), placement(e.getValue())));
            }
        }
        Collections.reverse(found);
        return List.copyOf(found.subList(0, Math.min(limit, found.size())));
    }

    private Placement placement(Entry e) {
        Duration age = Duration.ofNanos(Math.max(0, ticker.nanos() - e.lastUsedAt));
        return new Placement(e.target, e.cachedTokens, age, Optional.ofNullable(e.run));
    }

    private void evictLeastRecentlyUsed() {
        if (entries.size() > capacity) {
            var oldest = entries.entrySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Placement of a chat; mutable, which keeps the memory per chat small. */
    static final class Entry {
        TargetId target;
        long cachedTokens;
        long lastUsedAt;
        RunningRequest run;
    }
}
