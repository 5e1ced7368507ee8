package org.godwithoist.streams;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.SequencedSet;
import java.util.function.Predicate;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.time.Ticker;

/**
 * The beginnings of streams that this daemon knows, until their callers have stopped waiting, and
 * which of them must be written to the store or removed from it. Thread-safe.
 */
final class BegunStreams {
    /** Beyond this number the oldest are forgotten; an entry takes some 300 bytes. */
    static final int MAX_STREAMS = 10_000;

    /**
     * What is known of a stream.
     *
     * @param expiresAt instant of the ticker, in nanoseconds
     */
    private record Entry(StreamOrigin origin, long expiresAt) {}

    private final Ticker ticker;
    private final SequencedMap<StreamId, Entry> streams = new LinkedHashMap<>();

    /** Streams that this daemon has begun and not written. */
    private final SequencedSet<StreamId> unsaved = new LinkedHashSet<>();

    /** Streams whose rows this daemon has written, with the time until which they are needed. */
    private final Map<StreamId, Long> saved = new HashMap<>();

    BegunStreams(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Records a stream that this daemon began, or goes on with for the first time. */
    synchronized void add(StreamId stream, StreamOrigin origin, Duration life) {
        put(stream, origin, life);
        if (stream.isStorable()) {
            unsaved.add(stream);
        }
    }

    /** Records a stream whose row was read. */
    synchronized void remember(StreamId stream, StreamOrigin origin, Duration life) {
        put(stream, origin, life);
    }

    private void put(StreamId stream, StreamOrigin origin, Duration life) {
        streams.putLast(stream, new Entry(origin, ticker.nanos() + life.toNanos()));
        if (streams.size() > MAX_STREAMS) {
            unsaved.remove(streams.pollFirstEntry().getKey());
        }
    }

    synchronized Optional<StreamOrigin> find(StreamId stream) {
        return Optional.ofNullable(streams.get(stream))
                .filter(e -> e.expiresAt() - ticker.nanos() > 0)
                .map(Entry::origin);
    }

    /** Forgets the streams that nobody takes up any more. */
    synchronized void removeExpired() {
        long now = ticker.nanos();
        streams.entrySet().removeIf(e -> e.getValue().expiresAt() - now <= 0);
        unsaved.removeIf(s -> !streams.containsKey(s));
    }

    /** Makes all streams be written again, because the store may have lost their rows. */
    synchronized void saveAgain() {
        unsaved.addAll(saved.keySet());
        unsaved.retainAll(streams.keySet());
    }

    /**
     * Returns streams that must be written.
     *
     * @param services services whose streams are written
     * @param max maximum number
     */
    synchronized List<OriginStore.BegunStream> unsaved(Predicate<ServiceId> services, int max) {
        long now = ticker.nanos();
        List<OriginStore.BegunStream> found = new ArrayList<>();
        for (Iterator<StreamId> i = unsaved.iterator(); i.hasNext() && found.size() < max; ) {
            StreamId stream = i.next();
            Entry entry = streams.get(stream);
            if (entry == null || entry.expiresAt() - now <= 0) {
                i.remove();
            } else if (services.test(stream.service())) {
                Duration left = Duration.ofNanos(entry.expiresAt() - now);
                found.add(new OriginStore.BegunStream(stream, entry.origin(), left));
            }
        }
        return found;
    }

    /** Returns at most a number of streams whose rows nobody needs any more. */
    synchronized List<StreamId> expiredRows(int max) {
        long now = ticker.nanos();
        return saved.entrySet().stream()
                .filter(e -> e.getValue() - now <= 0)
                .limit(max)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Records that rows were written and others removed. */
    synchronized void recordSaved(List<OriginStore.BegunStream> written, List<StreamId> removed) {
        long now = ticker.nanos();
        for (OriginStore.BegunStream s : written) {
            unsaved.remove(s.stream());
            saved.put(s.stream(), now + s.expiresIn().toNanos());
        }
        removed.forEach(saved::remove);
    }

    synchronized int size() {
        return streams.size();
    }

    synchronized int unsavedCount() {
        return unsaved.size();
    }
}
