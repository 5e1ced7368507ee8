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
import org.godwithoist.routing.Rendezvous;

/** Engines, daemons and what is measured during one run of one alternative. */
final class World {
    /** One-way latency between daemons, and between a daemon and an engine. */
    static final long HOP = 3 * VirtualTime.MILLI / 2;

    /** Load reports show the load of this time ago. */
    static final long LOAD_LAG = VirtualTime.SECOND;

    private static final AdmissionLimits LIMITS =
            new AdmissionLimits(1.5, 4, 2, 2, 5.0, EngineModel.BATCH, 0, 1);

    final AdmissionLimits limits;
    private static final long MEAN_WINDOW = 10 * VirtualTime.SECOND;
    private static final long REPORT_PERIOD = 500 * VirtualTime.MILLI;

    /** A smaller mean makes the ratio of peak to mean meaningless. */
    private static final double LEAST_MEAN = 2;

    private static final int PERCENT = 100;

    final VirtualTime time = new VirtualTime();
    final List<EngineModel> engines = new ArrayList<>();
    final int daemons;
    final Random random;
    final int[] reported;
    final int[][] sent;
    final Deque<Consumer<Boolean>> waiting = new ArrayDeque<>();
    private final Deque<double[]> means = new ArrayDeque<>();
    private final Map<LossCause, Long> lostTokens = new EnumMap<>(LossCause.class);
    private final Map<Turn, LossCause> refused = new HashMap<>();
    private final Map<Faults, Double> peaks = new EnumMap<>(Faults.class);
    private final Histogram added = new Histogram(3);
    private final Histogram addedInFaults = new Histogram(3);
    private long accepts;
    private long overBound;
    private long reusedTokens;
    private long historyTokens;
    long controlBytes;
    long forwardedBytes;

    World(long seed, int engineCount, int daemons, int reservedHolders, int skewFloor) {
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
        this.reported = new int[engineCount];
        this.sent = new int[daemons][engineCount];
        for (int i = 0; i < engineCount; i++) {
            engines.add(new EngineModel(time));
        }
        time.every(REPORT_PERIOD, this::report);
    }

    private void report() {
        int[] loads = engines.stream().mapToInt(EngineModel::load).toArray();
        time.after(LOAD_LAG, () -> System.arraycopy(loads, 0, reported, 0, loads.length));
    }

    // ---- what a daemon knows

    /** Returns the engines in the order of preference of a chat, as far as a daemon lists them. */
    List<Integer> ranked(Turn turn) {
        List<Integer> listed = new ArrayList<>();
        boolean blind = Faults.LISTS_DISAGREE.at(time.now()) && turn.daemon() % 2 == 0;
        for (int i = blind ? 1 : 0; i < engines.size(); i++) {
            listed.add(i);
        }
        return Rendezvous.rank("chat" + turn.chat(), listed, i -> "engine" + i);
    }

    /** Returns whether the owner of the shard is paused now. */
    boolean ownerPaused() {
        long since = time.now() - Faults.OWNER_PAUSED.from() * VirtualTime.SECOND;
        return since >= 0 && since < Faults.PAUSE_SECONDS * VirtualTime.SECOND;
    }

    double mean() {
        return (double) totalLoad() / engines.size();
    }

    private int totalLoad() {
        return engines.stream().mapToInt(EngineModel::load).sum();
    }

    /** Returns the bound of design section 5.2 from the engines' own counts. */
    int bound() {
        double largest = mean();
        for (double[] m : means) {
            largest = Math.max(largest, m[1]);
        }
        return limits.skewBound(largest);
    }

    // ---- what happens

    /** Sends a turn to an engine that it reaches after one hop. */
    void send(Turn turn, int engine, Runnable onEnd) {
        sent[turn.daemon()][engine]++;
        time.after(HOP, () -> accept(turn, engine, onEnd));
    }

    private void accept(Turn turn, int engine, Runnable onEnd) {
        EngineModel e = engines.get(engine);
        accepts++;
        reusedTokens += e.cached(turn);
        historyTokens += turn.history();
        noteLoss(turn, e.cached(turn));
        double before = mean();
        long waited = time.now() - turn.at() - HOP;
        e.accept(
                turn,
                first -> {},
                () -> {
                    noteMean();
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

    /** Notes why the engine with the largest part of a turn's history did not get the turn. */
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

    // ---- figures

    double peak(Faults f) {
        return peaks.getOrDefault(f, 0.0);
    }

    double overBoundPercent() {
        return (double) PERCENT * overBound / Math.max(1, accepts);
    }

    double reuse() {
        return (double) reusedTokens / Math.max(1, historyTokens);
    }

    /** Returns the share of all history that was not found for a cause, in percent. */
    double lostPercent(LossCause cause) {
        long lost = lostTokens.getOrDefault(cause, 0L);
        return (double) PERCENT * lost / Math.max(1, historyTokens);
    }

    long accepts() {
        return accepts;
    }

    /** Returns the wait from arrival until the turn is sent, in milliseconds. */
    Histogram added() {
        return added;
    }

    Histogram addedInFaults() {
        return addedInFaults;
    }
}
