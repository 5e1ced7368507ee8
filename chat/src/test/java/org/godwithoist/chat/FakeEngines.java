package org.godwithoist.chat;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.godwithoist.accounting.Usage;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.membership.Target;

/** Engines that generate the words {@code w1 } to {@code w8 } and fail as the test configures. */
public final class FakeEngines implements EngineClient {
    /** Words of a complete response. */
    public static final int WORDS = 8;

    private static final Usage PROMPT = new Usage(1, 100, 0, 0);

    final List<String> calls = new CopyOnWriteArrayList<>();
    final List<CacheEvent> cacheEvents = new CopyOnWriteArrayList<>();
    private final Map<TargetId, Engine> engines = new ConcurrentHashMap<>();

    /** Injected faults and requests of one engine. Event 0 is the head of the response. */
    static final class Engine {
        volatile int killAt = Integer.MAX_VALUE;
        volatile int silentAt = Integer.MAX_VALUE;
        volatile boolean silentForever;
        volatile boolean forgetsSilentRequest;
        volatile boolean dead;
        volatile EngineException.Kind refusal;
        volatile boolean duplicates;
        volatile boolean swaps;
        volatile int losesOnce;
        volatile long paceMs;

        /** Delays the end of a response until it completes. */
        volatile CompletableFuture<Void> endGate = CompletableFuture.completedFuture(null);

        private final Map<RequestId, Work> work = new ConcurrentHashMap<>();
        final Map<RequestId, Usage> counted = new ConcurrentHashMap<>();
    }

    private static final class Work {
        private final int firstWord;
        private volatile int generated;
        private volatile boolean cancelled;

        Work(int firstWord) {
            this.firstWord = firstWord;
        }
    }

    Engine engine(TargetId id) {
        return engines.computeIfAbsent(id, i -> new Engine());
    }

    /** Returns the text of a complete response. */
    public static String wholeText() {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= WORDS; i++) {
            text.append('w').append(i).append(' ');
        }
        return text.toString();
    }

    /** Returns the usage recorded by all engines. */
    Usage counted() {
        return engines.values().stream()
                .flatMap(e -> e.counted.values().stream())
                .reduce(Usage.NONE, Usage::plus);
    }

    // ---- calls

    @Override
    public Uni<EngineStream> open(
            Target target, RequestId attempt, ChatRequest request, String alreadySent) {
        Engine e = engine(target.id());
        calls.add("open " + target.id());
        if (e.dead) {
            return failed(EngineException.Kind.UNREACHABLE);
        }
        if (e.refusal != null) {
            return failed(e.refusal);
        }
        if (e.silentAt == 0 && e.forgetsSilentRequest) {
            return Uni.createFrom().nothing();
        }
        int sentWords = alreadySent.isEmpty() ? 0 : alreadySent.split(" ").length;
        e.work.put(attempt, new Work(sentWords + 1));
        if (e.killAt == 0) {
            e.dead = true;
            return failed(EngineException.Kind.LOST);
        }
        return e.silentAt == 0 ? Uni.createFrom().nothing() : stream(e, attempt, 0);
    }

    @Override
    public Uni<EngineStream> resume(Target target, RequestId attempt, long afterOffset) {
        Engine e = engine(target.id());
        calls.add("resume " + target.id() + " " + afterOffset);
        if (e.dead) {
            return failed(EngineException.Kind.UNREACHABLE);
        }
        if (!e.work.containsKey(attempt) || e.work.get(attempt).cancelled) {
            // The engine responds, so its connections work again.
            e.silentAt = Integer.MAX_VALUE;
            return failed(EngineException.Kind.UNKNOWN_REQUEST);
        }
        if (e.silentForever) {
            return Uni.createFrom().nothing();
        }
        e.silentAt = Integer.MAX_VALUE;
        return stream(e, attempt, (int) afterOffset);
    }

    private static Uni<EngineStream> stream(Engine e, RequestId attempt, int after) {
        return Uni.createFrom().item(new Stream(e, attempt, after));
    }

    @Override
    public Uni<Optional<Usage>> cancel(Target target, RequestId attempt) {
        Engine e = engine(target.id());
        calls.add("cancel " + target.id());
        if (e.dead) {
            return failed(EngineException.Kind.UNREACHABLE);
        }
        Work w = e.work.get(attempt);
        if (w == null) {
            return Uni.createFrom().item(Optional.empty());
        }
        w.cancelled = true;
        return Uni.createFrom().item(Optional.of(count(e, attempt)));
    }

    @Override
    public void distrustConnections(Target target) {
        calls.add("distrust " + target.id());
    }

    @Override
    public Uni<Boolean> knows(Target target, RequestId attempt) {
        return Uni.createFrom().item(engine(target.id()).work.containsKey(attempt));
    }

    @Override
    public Uni<List<RequestId>> running(Target target) {
        return Uni.createFrom().item(List.copyOf(engine(target.id()).work.keySet()));
    }

    @Override
    public Uni<CacheExport> exportCache(Target target, ChatId chat) {
        calls.add("export " + target.id());
        return engine(target.id()).dead
                ? failed(EngineException.Kind.UNREACHABLE)
                : Uni.createFrom().item(new CacheExport("object-" + chat, 5_000));
    }

    @Override
    public Uni<Void> importCache(Target target, CacheExport export) {
        calls.add("import " + target.id());
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<List<CacheEvent>> cacheEvents(Target target, long afterSequence) {
        return Uni.createFrom().item(List.copyOf(cacheEvents));
    }

    private static <T> Uni<T> failed(EngineException.Kind kind) {
        return Uni.createFrom().failure(new EngineException(kind, "as the test wants"));
    }

    private static Usage count(Engine e, RequestId attempt) {
        Work w = e.work.get(attempt);
        return e.counted.compute(
                attempt, (id, old) -> PROMPT.plus(new Usage(0, 0, 0, w.generated)));
    }

    /** One connection that reads the events of an attempt. */
    private static final class Stream implements EngineStream {
        private final Engine engine;
        private final RequestId attempt;
        private final Work work;
        private final List<EngineEvent> events = new ArrayList<>();
        private int next;

        Stream(Engine engine, RequestId attempt, int after) {
            this.engine = engine;
            this.attempt = attempt;
            work = engine.work.get(attempt);
            long lost = engine.losesOnce;
            engine.losesOnce = 0;
            for (int word = work.firstWord + after; word <= WORDS; word++) {
                long offset = word - work.firstWord + 1L;
                String text = "w" + word + " ";
                var piece = new EngineEvent.Piece(offset, text, data(text), true);
                events.add(piece);
                if (engine.duplicates) {
                    events.add(piece);
                }
            }
            if (engine.swaps && events.size() > 3) {
                events.add(2, events.remove(1));
            }
            events.removeIf(ev -> ev instanceof EngineEvent.Piece p && p.offset() == lost);
        }

        private static String data(String text) {
            return "{\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
                    + "\"delta\":{\"content\":\""
                    + text
                    + "\"}}]}";
        }

        @Override
        public Uni<EngineEvent> next() {
            if (work.cancelled) {
                return failed(EngineException.Kind.LOST);
            }
            if (engine.dead || next + 1 > engine.killAt) {
                engine.dead = true;
                return failed(EngineException.Kind.LOST);
            }
            if (next + 1 > engine.silentAt) {
                return Uni.createFrom().nothing();
            }
            if (next >= events.size()) {
                work.generated = WORDS - work.firstWord + 1;
                return Uni.createFrom()
                        .completionStage(engine.endGate)
                        .map(v -> new EngineEvent.End(count(engine, attempt), "stop"));
            }
            EngineEvent event = events.get(next++);
            if (event instanceof EngineEvent.Piece p) {
                work.generated = Math.max(work.generated, (int) p.offset());
            }
            Uni<EngineEvent> now = Uni.createFrom().item(event);
            Duration pace = Duration.ofMillis(engine.paceMs);
            return pace.isZero() ? now : now.onItem().delayIt().by(pace);
        }

        @Override
        public void close() {}
    }
}
