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
 * The placements that this daemon keeps for the fleet. Bounded: the chat that was used longest ago
 * is dropped first. Thread-safe.
 */
public final class PlacementDirectory implements Placements {
    /**
     * Chats that one daemon keeps by default. 8 million chats over 940 daemons are 8,500 for each;
     * the rest is room for small fleets.
     */
    public static final int DEFAULT_CAPACITY = 100_000;

    /** Lag of cache events that is assumed, in nanoseconds. */
    static final long EVENT_LAG_NANOS = Duration.ofSeconds(2).toNanos();

    private final int capacity;
    private final Ticker ticker;
    private final Map<ChatId, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);

    /** Makes a directory for a number of chats. */
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
        if (e == null && !change.kind().creates()) {
            return;
        }
        if (e == null) {
            e = new Entry();
            entries.put(chat, e);
            dropOldest();
        }
        change.kind().apply(e, change, ticker.nanos());
    }

    /** Returns the number of chats. */
    public synchronized int size() {
        return entries.size();
    }

    /** A chat with its placement. */
    public record ChatPlacement(ChatId chat, Placement placement) {}

    /**
     * Returns the chats with a cache at the targets concerned, most recently used first.
     *
     * @param limit largest number of chats
     */
    public synchronized List<ChatPlacement> chatsCachedAt(
            Predicate<TargetId> concerned, int limit) {
        List<ChatPlacement> found = new ArrayList<>();
        for (Map.Entry<ChatId, Entry> e : entries.entrySet()) {
            if (e.getValue().cachedTokens > 0 && concerned.test(e.getValue().target)) {
                found.add(new ChatPlacement(e.getKey(), placement(e.getValue())));
            }
        }
        Collections.reverse(found);
        return List.copyOf(found.subList(0, Math.min(limit, found.size())));
    }

    private Placement placement(Entry e) {
        Duration age = Duration.ofNanos(Math.max(0, ticker.nanos() - e.lastUse));
        return new Placement(e.target, e.cachedTokens, age, Optional.ofNullable(e.run));
    }

    private void dropOldest() {
        if (entries.size() > capacity) {
            var oldest = entries.entrySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** A chat's placement; mutable to keep the memory for each chat small. */
    static final class Entry {
        TargetId target;
        long cachedTokens;
        long lastUse;
        RunningRequest run;
    }
}
