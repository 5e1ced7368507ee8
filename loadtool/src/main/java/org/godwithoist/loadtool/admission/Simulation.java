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
final class Simulation {
    /** One-way latency between daemons, and between a daemon and an engine. */
    static final long HOP_NANOS = 3 * EventScheduler.NANOS_PER_MILLI / 2;

    /** Age of the load that daemons see. */
    static final long LOAD_LAG_NANOS = EventScheduler.NANOS_PER_SECOND;

    private static final AdmissionLimits DEFAULT_LIMITS =
            new AdmissionLimits(1.5, 4, 2, 2, 5.0, EngineModel.BATCH_SIZE, 0, 1);

    final AdmissionLimits limits;
    private static final long MEAN_WINDOW_NANOS = 10 * EventScheduler.NANOS_PER_SECOND;
    private static final long REPORT_INTERVAL_NANOS = 500 * EventScheduler.NANOS_PER_MILLI;

    /**
     * Smallest mean load for which the ratio of peak to mean is recorded; below it, a single
     * request changes the ratio too much.
     */
    private static final double MIN_MEAN_LOAD = 2;

    private static final int PERCENT = 100;

    final EventScheduler time = new EventScheduler();
    final List<EngineModel> engines = new ArrayList<>();
    final int daemons;
    final Random random;

    /** Whether engines release exported caches; the engine protocol does not specify this. */
    boolean releaseExported;

    final List<Runnable> replacementListeners = new ArrayList<>();

    /** Load of each engine as the daemons see it, {@link #LOAD_LAG_NANOS} old. */
    final int[] reportedLoads;

    private final int[] warmupLimits;
    private final int[] completed;

    /** Requests sent and not yet ended, by daemon and engine. */
    final int[][] inFlight;

    /** Turns that wait for capacity; each retries its placement when it is called. */
    final Deque<Consumer<Boolean>> waitingTurns = new ArrayDeque<>();

    /** Times in nanoseconds, each with the mean load at that time. */
    private final Deque<double[]> recentMeans = new ArrayDeque<>();

    private final Map<CacheMissCause, Long> missedTokens = new EnumMap<>(CacheMissCause.class);
    private final Map<Turn, CacheMissCause> missCauses = new HashMap<>();
    private final Map<InjectedFault, Double> peakToMean = new EnumMap<>(InjectedFault.class);
    private final Histogram admissionDelay = new Histogram(3);
    private final Histogram firstToken = new Histogram(3);
    private final Histogram admissionDelayDuringFaults = new Histogram(3);
    private long accepts;
    private long overBound;
    private long reusedTokens;
    private long historyTokens;
    private long movedTokens;
    long controlBytes;
    long forwardedBytes;

    /**
     * Creates a simulation with cold engines and no load.
     *
     * @param replaceEvery seconds between replacements of an engine; 0 for none
     * @param seconds length of the run
     */
    Simulation(
            long seed,
            int engineCount,
            int daemons,
            int reservedHolders,
            int skewFloor,
            int replaceEvery,
            int seconds) {
        this.limits =
                new AdmissionLimits(
                        DEFAULT_LIMITS.skewFactor(),
                        skewFloor,
                        DEFAULT_LIMITS.coldStartLimit(),
                        DEFAULT_LIMITS.warmupAnswers(),
                        DEFAULT_LIMITS.coldFactor(),
                        DEFAULT_LIMITS.maxConcurrent(),
                        reservedHolders,
                        1);
        this.daemons = daemons;
        this.random = new Random(seed);
        int totalEngines = engineCount + (replaceEvery == 0 ? 0 : seconds / replaceEvery);
        this.reportedLoads = new int[totalEngines];
        this.inFlight = new int[daemons][totalEngines];
        this.warmupLimits = new int[totalEngines];
        this.completed = new int[totalEngines];
        for (int i = 0; i < engineCount; i++) {
            engines.add(new EngineModel(time));
            warmupLimits[i] = limits.coldStartLimit();
        }
        if (replaceEvery > 0) {
            time.scheduleRepeating(
                    replaceEvery * EventScheduler.NANOS_PER_SECOND, this::replaceOldest);
        }
        time.scheduleRepeating(REPORT_INTERVAL_NANOS, this::reportLoads);
    }

    /** Replaces the engine with the longest time in service by a cold one with an empty cache. */
    private void replaceOldest() {
        for (EngineModel e : engines) {
            if (e.inService()) {
                e.takeOutOfService();
                break;
            }
        }
        warmupLimits[engines.size()] = limits.coldStartLimit();
        engines.add(new EngineModel(time));
        replacementListeners.forEach(Runnable::run);
    }

    private void reportLoads() {
        int[] loads = engines.stream().mapToInt(EngineModel::load).toArray();
        time.schedule(
                LOAD_LAG_NANOS, () -> System.arraycopy(loads, 0, reportedLoads, 0, loads.length));
    }

    // ---- view of a daemon

    /** Returns the engines in a daemon's host list, in the rendezvous hash order of the chat. */
    List<Integer> rankedEngines(Turn turn) {
        List<Integer> listed = new ArrayList<>();
        boolean firstEngineMissing =
                InjectedFault.LISTS_DISAGREE.isActive(time.now()) && turn.daemon() % 2 == 0;
        for (int i = firstEngineMissing ? 1 : 0; i < engines.size(); i++) {
            if (engines.get(i).inService()) {
                listed.add(i);
            }
        }
        return RendezvousHash.rank("chat" + turn.chat(), listed, i -> "engine" + i);
    }

    /** Returns whether the shard owner is currently paused. */
    boolean ownerPaused() {
        long since =
                time.now()
                        - InjectedFault.OWNER_PAUSED.fromSecond() * EventScheduler.NANOS_PER_SECOND;
        return since >= 0
                && since < InjectedFault.OWNER_PAUSE_SECONDS * EventScheduler.NANOS_PER_SECOND;
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
        return Math.min(bound(), warmupLimits[engine]);
    }

    /** Returns the skew bound of design section 5.2, computed from the actual loads. */
    int bound() {
        double largestMean = mean();
        for (double[] timeAndMean : recentMeans) {
            largestMean = Math.max(largestMean, timeAndMean[1]);
        }
        return limits.skewBound(largestMean);
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
        inFlight[turn.daemon()][engine]++;
        time.schedule(HOP_NANOS, () -> accept(turn, engine, onFirst, onEnd));
    }

    /** Records history tokens that were copied from the cache of another engine. */
    void recordMovedTokens(int tokens) {
        movedTokens += tokens;
    }

    private void accept(Turn turn, int engine, Runnable onFirst, Runnable onEnd) {
        EngineModel model = engines.get(engine);
        accepts++;
        reusedTokens += model.cachedHistory(turn);
        historyTokens += turn.historyTokens();
        recordMisses(turn, model.cachedHistory(turn));
        double meanBefore = mean();
        long delayNanos = time.now() - turn.arrivalNanos() - HOP_NANOS;
        model.accept(
                turn,
                firstNanos -> {
                    firstToken.recordValue(
                            (time.now() - turn.arrivalNanos()) / EventScheduler.NANOS_PER_MILLI);
                    time.schedule(HOP_NANOS, onFirst);
                },
                () -> {
                    recordMean();
                    completed[engine]++;
                    warmupLimits[engine] += completed[engine] % limits.warmupAnswers() == 0 ? 1 : 0;
                    time.schedule(
                            HOP_NANOS,
                            () -> {
                                inFlight[turn.daemon()][engine]--;
                                onEnd.run();
                            });
                });
        recordMean();
        long queued = Math.max(0, model.load() - EngineModel.BATCH_SIZE);
        recordAdmissionDelay(delayNanos / EventScheduler.NANOS_PER_MILLI);
        overBound += queued > 0 || model.load() > bound() ? 1 : 0;
        if (meanBefore >= MIN_MEAN_LOAD) {
            peakToMean.merge(InjectedFault.current(time.now()), model.load() / mean(), Math::max);
        }
    }

    /** Records why a turn's first choice had no slot; only the first cause of a turn counts. */
    void recordMissCause(Turn turn, CacheMissCause cause) {
        missCauses.putIfAbsent(turn, cause);
    }

    private void recordMisses(Turn turn, int cached) {
        int bestCached = engines.stream().mapToInt(e -> e.cachedHistory(turn)).max().orElse(0);
        CacheMissCause cause = missCauses.remove(turn);
        missedTokens.merge(
                CacheMissCause.IN_NO_CACHE, (long) turn.historyTokens() - bestCached, Long::sum);
        if (bestCached > cached) {
            missedTokens.merge(
                    cause == null ? CacheMissCause.ASKED_ELSEWHERE : cause,
                    (long) bestCached - cached,
                    Long::sum);
        }
    }

    private void recordAdmissionDelay(long millis) {
        admissionDelay.recordValue(Math.max(0, millis));
        if (InjectedFault.current(time.now()) != InjectedFault.NONE) {
            admissionDelayDuringFaults.recordValue(Math.max(0, millis));
        }
    }

    private void recordMean() {
        recentMeans.addLast(new double[] {time.now(), mean()});
        while (recentMeans.peekFirst()[0] < time.now() - MEAN_WINDOW_NANOS) {
            recentMeans.removeFirst();
        }
    }

    // ---- results

    /** Returns the largest ratio of an engine's load to the mean load during a fault; 0 if none. */
    double peakToMean(InjectedFault fault) {
        return peakToMean.getOrDefault(fault, 0.0);
    }

    /** Returns the share of accepts above the skew bound or the engine's batch size, in percent. */
    double overBoundPercent() {
        return (double) PERCENT * overBound / Math.max(1, accepts);
    }

    /** Returns the share of history tokens found in the cache of the serving engine, 0 to 1. */
    double historyReuse() {
        return (double) reusedTokens / Math.max(1, historyTokens);
    }

    /** Returns the share of history tokens not found in the cache for a given cause, in percent. */
    double missPercent(CacheMissCause cause) {
        long missed = missedTokens.getOrDefault(cause, 0L);
        return (double) PERCENT * missed / Math.max(1, historyTokens);
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
    Histogram admissionDelay() {
        return admissionDelay;
    }

    /** Returns the part of {@link #admissionDelay()} that was recorded during a fault. */
    Histogram admissionDelayDuringFaults() {
        return admissionDelayDuringFaults;
    }
}
