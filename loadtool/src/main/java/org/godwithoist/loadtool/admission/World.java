package org.godwithoist.loadtool.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.routing.RendezvousHash;

/** Simulated engines, views of the daemons and measurements of one run of one alternative. */
final class World {
    /** One-way latency between daemons, and between a daemon and an engine. */
    static final long HOP = 3 * VirtualTime.MILLI / 2;

    /** Age of the load that daemons see. */
    static final long LOAD_LAG = VirtualTime.SECOND;

    private static final AdmissionLimits LIMITS =
            new AdmissionLimits(1.5, 4, 2, 2, 5.0, EngineModel.BATCH, 0, 1);

    final AdmissionLimits limits;
    private static final long MEAN_WINDOW = 10 * VirtualTime.SECOND;
    private static final long REPORT_PERIOD = 500 * VirtualTime.MILLI;

    /**
     * Smallest mean load for which the ratio of peak to mean is recorded; below it, it is noise.
     */
    private static final double LEAST_MEAN = 2;

    private static final int PERCENT = 100;

    final VirtualTime time = new VirtualTime();
    final List<EngineModel> engines = new ArrayList<>();
    final int daemons;
    final Random random;

    /** Whether engines release exported caches; the engine protocol does not specify this. */
    boolean releaseMoved;

    final List<Runnable> onReplaced = new ArrayList<>();
    final int[] reported;
    private final int[] grown;
    private final int[] answers;
    final int[][] sent;
    final Deque<Consumer<Boolean>> waiting = new ArrayDeque<>();
    private final Deque<double[]> means = new ArrayDeque<>();
    private final Map<LossCause, Long> lostTokens = new EnumMap<>(LossCause.class);
    private final Map<Turn, LossCause> refused = new HashMap<>();
    private final Map<Faults, Double> peaks = new EnumMap<>(Faults.class);
    private final Histogram added = new Histogram(3);
    private final Histogram firstToken = new Histogram(3);
    private final Histogram addedInFaults = new Histogram(3);
    private long accepts;
    private long overBound;
    private long reusedTokens;
    private long historyTokens;
    private long movedTokens;
    long controlBytes;
    long forwardedBytes;

    /**
     * Creates a world with cold engines and no load.
     *
     * @param replaceEvery seconds between replacements of an engine; 0 for none
     * @param seconds length of the run
     */
    World(
            long seed,
            int engineCount,
            int daemons,
            int reservedHolders,
            int skewFloor,
            int replaceEvery,
            int seconds) {
        this.limits =
                new AdmissionLimits(
                        LIMITS.skewFactor(),
                        skewFloor,
                        LIMITS.coldStartLimit(),
                        LIMITS.warmupAnswers(),
                        LIMITS.coldFactor(),
                        LIMITS.maxConcurrent(),
                        reservedHolders,
                        1);
        this.daemons = daemons;
        this.random = new Random(seed);
        int all = engineCount + (replaceEvery == 0 ? 0 : seconds / replaceEvery);
        this.reported = new int[all];
        this.sent = new int[daemons][all];
        this.grown = new int[all];
        this.answers = new int[all];
        for (int i = 0; i < engineCount; i++) {
            engines.add(new EngineModel(time));
            grown[i] = limits.coldStartLimit();
        }
        if (replaceEvery > 0) {
            time.every(replaceEvery * VirtualTime.SECOND, this::replaceOldest);
        }
        time.every(REPORT_PERIOD, this::report);
    }

    /** Replaces the engine with the longest time in service by a cold one with an empty cache. */
    private void replaceOldest() {
        for (EngineModel e : engines) {
            if (e.inService()) {
                e.leave();
                break;
            }
        }
        grown[engines.size()] = limits.coldStartLimit();
        engines.add(new EngineModel(time));
        onReplaced.forEach(Runnable::run);
    }

    private void report() {
        int[] loads = engines.stream().mapToInt(EngineModel::load).toArray();
        time.after(LOAD_LAG, () -> System.arraycopy(loads, 0, reported, 0, loads.length));
    }

    // ---- view of a daemon

    /** Returns the engines in a daemon's host list, in the rendezvous hash order of the chat. */
    List<Integer> ranked(Turn turn) {
        List<Integer> listed = new ArrayList<>();
        boolean blind = Faults.LISTS_DISAGREE.at(time.now()) && turn.daemon() % 2 == 0;
        for (int i = blind ? 1 : 0; i < engines.size(); i++) {
            if (engines.get(i).inService()) {
                listed.add(i);
            }
        }
        return RendezvousHash.rank("chat" + turn.chat(), listed, i -> "engine" + i);
    }

    /** Returns whether the shard owner is currently paused. */
    boolean ownerPaused() {
        long since = time.now() - Faults.OWNER_PAUSED.from() * VirtualTime.SECOND;
        return since >= 0 && since < Faults.PAUSE_SECONDS * VirtualTime.SECOND;
    }

    double mean() {
        return engines.stream()
                .filter(EngineModel::inService)
                .mapToInt(EngineModel::load)
                .average()
                .orElseThrow();
    }

    /** Returns the smaller of the skew bound and an engine's warm-up limit, from actual loads. */
    int bound(int engine) {
        return Math.min(bound(), grown[engine]);
    }

    /** Returns the skew bound of design section 5.2, computed from the actual loads. */
    int bound() {
        double largest = mean();
        for (double[] m : means) {
            largest = Math.max(largest, m[1]);
        }
        return limits.skewBound(largest);
    }

    // ---- requests

    /** Sends a turn to an engine, which accepts it one hop later. */
    void send(Turn turn, int engine, Runnable onEnd) {
        send(turn, engine, () -> {}, onEnd);
    }

    /**
     * Sends a turn to an engine, which accepts it one hop later. The callbacks run one hop after
     * the first token and the end of the response, when the daemon receives them.
     */
    void send(Turn turn, int engine, Runnable onFirst, Runnable onEnd) {
        sent[turn.daemon()][engine]++;
        time.after(HOP, () -> accept(turn, engine, onFirst, onEnd));
    }

    /** Records history tokens that were copied from the cache of another engine. */
    void moved(int tokens) {
        movedTokens += tokens;
    }

    private void accept(Turn turn, int engine, Runnable onFirst, Runnable onEnd) {
        EngineModel e = engines.get(engine);
        accepts++;
        reusedTokens += e.cached(turn);
        historyTokens += turn.history();
        noteLoss(turn, e.cached(turn));
        double before = mean();
        long waited = time.now() - turn.at() - HOP;
        e.accept(
                turn,
                first -> {
                    firstToken.recordValue((time.now() - turn.at()) / VirtualTime.MILLI);
                    time.after(HOP, onFirst);
                },
                () -> {
                    noteMean();
                    answers[engine]++;
                    grown[engine] += answers[engine] % limits.warmupAnswers() == 0 ? 1 : 0;
                    time.after(
                            HOP,
                            () -> {
                                sent[turn.daemon()][engine]--;
                                onEnd.run();
                            });
                });
        noteMean();
        long queued = Math.max(0, e.load() - EngineModel.BATCH);
        record(waited / VirtualTime.MILLI);
        overBound += queued > 0 || e.load() > bound() ? 1 : 0;
        if (before >= LEAST_MEAN) {
            peaks.merge(Faults.current(time.now()), e.load() / mean(), Math::max);
        }
    }

    /** Records why a turn's first choice had no slot; only the first cause of a turn counts. */
    void refused(Turn turn, LossCause cause) {
        refused.putIfAbsent(turn, cause);
    }

    private void noteLoss(Turn turn, int found) {
        int most = engines.stream().mapToInt(e -> e.cached(turn)).max().orElse(0);
        LossCause cause = refused.remove(turn);
        lostTokens.merge(LossCause.IN_NO_CACHE, (long) turn.history() - most, Long::sum);
        if (most > found) {
            lostTokens.merge(
                    cause == null ? LossCause.ASKED_ELSEWHERE : cause,
                    (long) most - found,
                    Long::sum);
        }
    }

    private void record(long millis) {
        added.recordValue(Math.max(0, millis));
        if (Faults.current(time.now()) != Faults.NONE) {
            addedInFaults.recordValue(Math.max(0, millis));
        }
    }

    private void noteMean() {
        means.addLast(new double[] {time.now(), mean()});
        while (means.peekFirst()[0] < time.now() - MEAN_WINDOW) {
            means.removeFirst();
        }
    }

    // ---- results

    /** Returns the largest ratio of an engine's load to the mean load during a fault; 0 if none. */
    double peak(Faults f) {
        return peaks.getOrDefault(f, 0.0);
    }

    /** Returns the share of accepts above the skew bound or the engine's batch size, in percent. */
    double overBoundPercent() {
        return (double) PERCENT * overBound / Math.max(1, accepts);
    }

    /** Returns the share of history tokens found in the cache of the serving engine, 0 to 1. */
    double reuse() {
        return (double) reusedTokens / Math.max(1, historyTokens);
    }

    /** Returns the share of history tokens not found in the cache for a given cause, in percent. */
    double lostPercent(LossCause cause) {
        long lost = lostTokens.getOrDefault(cause, 0L);
        return (double) PERCENT * lost / Math.max(1, historyTokens);
    }

    /** Returns the share of history tokens copied from another engine, in percent. */
    double movedPercent() {
        return (double) PERCENT * movedTokens / Math.max(1, historyTokens);
    }

    long accepts() {
        return accepts;
    }

    /** Returns the times from arrival to the first token, in milliseconds. */
    Histogram firstToken() {
        return firstToken;
    }

    /** Returns the times from arrival until the turn is sent, in milliseconds. */
    Histogram added() {
        return added;
    }

    /** Returns the part of {@link #added()} that was recorded during a fault. */
    Histogram addedInFaults() {
        return addedInFaults;
    }
}
