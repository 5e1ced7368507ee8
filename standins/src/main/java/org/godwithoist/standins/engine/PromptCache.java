package org.godwithoist.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Bounded LRU prompt cache with one entry per chat. Its events become visible with a configured
 * delay, and a configured share of them is dropped.
 */
final class PromptCache {
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;
    private static final int PERCENT = 100;

    private final long capacityTokens;
    private final long eventLagMillis;
    private final int lossPercent;
    private final Random random = new Random(1);
    private final Map<String, Long> tokensByChat =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private final List<JsonObject> events = new ArrayList<>();
    private long usedTokens;
    private long lastSequence;

    PromptCache(EngineOptions options) {
        capacityTokens = options.cacheTokens();
        eventLagMillis = options.eventLagMillis();
        lossPercent = options.eventLossPercent();
    }

    /** Returns the cached tokens of a chat, 0 if none, and marks the chat as recently used. */
    long cachedTokens(String chat) {
        return tokensByChat.getOrDefault(chat, 0L);
    }

    void put(String chat, long tokens) {
        Long previous = tokensByChat.put(chat, tokens);
        usedTokens += tokens - (previous == null ? 0 : previous);
        addEvent("stored", chat, tokens);
        Iterator<Map.Entry<String, Long>> oldest = tokensByChat.entrySet().iterator();
        while (usedTokens > capacityTokens && oldest.hasNext()) {
            Map.Entry<String, Long> entry = oldest.next();
            if (entry.getKey().equals(chat)) {
                continue;
            }
            oldest.remove();
            usedTokens -= entry.getValue();
            addEvent("evicted", entry.getKey(), entry.getValue());
        }
    }

    void clear() {
        tokensByChat.clear();
        usedTokens = 0;
    }

    JsonArray eventsAfter(long sequence) {
        long visibleUntil = System.currentTimeMillis() - eventLagMillis;
        JsonArray visible = new JsonArray();
        for (JsonObject event : events) {
            if (event.getLong("seq") > sequence && event.getLong("at") <= visibleUntil) {
                visible.add(event);
            }
        }
        return visible;
    }

    private void addEvent(String kind, String chat, long tokens) {
        lastSequence++;
        if (random.nextInt(PERCENT) < lossPercent) {
            return;
        }
        events.add(
                new JsonObject()
                        .put("seq", lastSequence)
                        .put("kind", kind)
                        .put("chat", chat)
                        .put("tokens", tokens)
                        .put("at", System.currentTimeMillis()));
    }
}
