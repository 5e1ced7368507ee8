package org.godwithoist.loadtool.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/** Simulated engine with continuous batching and an LRU prompt cache of limited size. */
final class EngineModel {
    static final int BATCH_SIZE = 16;
    static final int CACHE_CAPACITY_TOKENS = 300_000;
    private static final long PREFILL_NANOS_PER_TOKEN = 50_000;
    private static final long DECODE_NANOS_PER_TOKEN = 30 * EventScheduler.NANOS_PER_MILLI;

    private final EventScheduler time;
    private final Map<Integer, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Runnable> waitingTurns = new ArrayDeque<>();
    private int cachedTokens;
    private int running;
    private boolean inService = true;

    EngineModel(EventScheduler time) {
        this.time = time;
    }

    /** Returns the number of requests in progress, running or queued. */
    int load() {
        return running + waitingTurns.size();
    }

    /** Returns false once the engine has been replaced. */
    boolean inService() {
        return inService;
    }

    /** Takes the engine out of service. Its cache is lost; its requests run to completion. */
    void takeOutOfService() {
        inService = false;
        cache.clear();
        cachedTokens = 0;
    }

    /** Removes a chat from the cache, as an engine does that releases exported caches. */
    void evict(int chat) {
        Integer tokens = cache.remove(chat);
        cachedTokens -= tokens == null ? 0 : tokens;
    }

    /** Returns the number of cached tokens of a chat. */
    int cachedTokens(int chat) {
        return cache.getOrDefault(chat, 0);
    }

    /** Returns the number of cached tokens of a turn's history. */
    int cachedHistory(Turn turn) {
        return Math.min(turn.historyTokens(), cache.getOrDefault(turn.chat(), 0));
    }

    /**
     * Accepts a turn; it is queued while the batch is full.
     *
     * @param onFirstToken receives the time from accept to the first token, in nanoseconds
     * @param onEnd runs when the response is complete
     */
    void accept(Turn turn, LongConsumer onFirstToken, Runnable onEnd) {
        long acceptedAt = time.now();
        if (running >= BATCH_SIZE) {
            waitingTurns.add(() -> startTurn(turn, acceptedAt, onFirstToken, onEnd));
            return;
        }
        startTurn(turn, acceptedAt, onFirstToken, onEnd);
    }

    private void startTurn(Turn turn, long acceptedAt, LongConsumer onFirstToken, Runnable onEnd) {
        running++;
        cache.get(turn.chat());
        double slowdown = 1 + (double) running / (2 * BATCH_SIZE);
        long prefill =
                (long)
                        ((turn.promptTokens() - cachedHistory(turn))
                                * PREFILL_NANOS_PER_TOKEN
                                * slowdown);
        long decode = (long) (turn.outputTokens() * DECODE_NANOS_PER_TOKEN * slowdown);
        time.schedule(prefill, () -> onFirstToken.accept(time.now() - acceptedAt));
        time.schedule(prefill + decode, () -> finishTurn(turn, onEnd));
    }

    private void finishTurn(Turn turn, Runnable onEnd) {
        running--;
        cacheHistory(turn.chat(), turn.promptTokens() + turn.outputTokens());
        if (!waitingTurns.isEmpty()) {
            waitingTurns.poll().run();
        }
        onEnd.run();
    }

    /**
     * Caches the history of a chat, after a response or a copy from another engine. Evicts the
     * least recently used chats beyond {@link #CACHE_CAPACITY_TOKENS}.
     */
    void cacheHistory(int chat, int tokens) {
        if (!inService) {
            return;
        }
        cachedTokens += tokens - cache.getOrDefault(chat, 0);
        cache.put(chat, tokens);
        var leastRecentlyUsed = cache.entrySet().iterator();
        while (cachedTokens > CACHE_CAPACITY_TOKENS && leastRecentlyUsed.hasNext()) {
            cachedTokens -= leastRecentlyUsed.next().getValue();
            leastRecentlyUsed.remove();
        }
    }
}
