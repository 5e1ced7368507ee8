package org.godwithoist.loadtool.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/** Simulated engine with continuous batching and an LRU prompt cache of limited size. */
final class EngineModel {
    static final int BATCH = 16;
    static final int CACHE_TOKENS = 300_000;
    private static final long PREFILL_NANOS_PER_TOKEN = 50_000;
    private static final long DECODE_NANOS_PER_TOKEN = 30 * VirtualTime.MILLI;

    private final VirtualTime time;
    private final Map<Integer, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private int cachedTokens;
    private int running;
    private boolean inService = true;

    EngineModel(VirtualTime time) {
        this.time = time;
    }

    /** Returns the number of requests in progress, running or queued. */
    int load() {
        return running + queue.size();
    }

    /** Returns false once the engine has been replaced. */
    boolean inService() {
        return inService;
    }

    /** Takes the engine out of service. Its cache is lost; its requests run to completion. */
    void leave() {
        inService = false;
        cache.clear();
        cachedTokens = 0;
    }

    /** Removes a chat from the cache, as an engine does that releases exported caches. */
    void release(int chat) {
        Integer tokens = cache.remove(chat);
        cachedTokens -= tokens == null ? 0 : tokens;
    }

    /** Returns the number of cached tokens of a chat. */
    int cachedTokens(int chat) {
        return cache.getOrDefault(chat, 0);
    }

    /** Returns the number of cached tokens of a turn's history. */
    int cached(Turn turn) {
        return Math.min(turn.history(), cache.getOrDefault(turn.chat(), 0));
    }

    /**
     * Accepts a turn; it is queued while the batch is full.
     *
     * @param firstToken receives the time from accept to the first token, in nanoseconds
     * @param end runs when the response is complete
     */
    void accept(Turn turn, LongConsumer firstToken, Runnable end) {
        long accepted = time.now();
        if (running >= BATCH) {
            queue.add(() -> begin(turn, accepted, firstToken, end));
            return;
        }
        begin(turn, accepted, firstToken, end);
    }

    private void begin(Turn turn, long accepted, LongConsumer firstToken, Runnable end) {
        running++;
        cache.get(turn.chat());
        double slowdown = 1 + (double) running / (2 * BATCH);
        long prefill = (long) ((turn.prompt() - cached(turn)) * PREFILL_NANOS_PER_TOKEN * slowdown);
        long decode = (long) (turn.output() * DECODE_NANOS_PER_TOKEN * slowdown);
        time.after(prefill, () -> firstToken.accept(time.now() - accepted));
        time.after(prefill + decode, () -> finish(turn, end));
    }

    private void finish(Turn turn, Runnable end) {
        running--;
        store(turn.chat(), turn.prompt() + turn.output());
        if (!queue.isEmpty()) {
            queue.poll().run();
        }
        end.run();
    }

    /**
     * Caches the history of a chat, after a response or a copy from another engine. Evicts the
     * least recently used chats beyond {@link #CACHE_TOKENS}.
     */
    void store(int chat, int tokens) {
        if (!inService) {
            return;
        }
        cachedTokens += tokens - cache.getOrDefault(chat, 0);
        cache.put(chat, tokens);
        var eldest = cache.entrySet().iterator();
        while (cachedTokens > CACHE_TOKENS && eldest.hasNext()) {
            cachedTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
