package org.godwithoist.loadtool.load;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;

/**
 * Checks guarantees against the logs of the engines. All processes run on one machine, so the
 * wall-clock times of their log entries can be compared. Not thread-safe.
 */
public final class EngineChecks {
    /** The skew bound refers to the largest mean load within this window. */
    private static final long MEAN_WINDOW_MS = 10_000;

    private final AdmissionLimits limits;
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<OutOfService> outOfService = new ArrayList<>();
    private final Set<TargetId> engines = new TreeSet<>();

    /** Interval during which an engine was not in service. */
    private record OutOfService(TargetId engine, long fromMillis, long toMillis) {
        boolean covers(TargetId e, long atMillis) {
            return engine.equals(e) && atMillis >= fromMillis && atMillis < toMillis;
        }
    }

    private record LogEntry(
            long atMillis,
            TargetId engine,
            FailureDomainId domain,
            String kind,
            JsonObject fields) {}

    /**
     * Result of the skew check.
     *
     * @param accepts number of accepted requests
     * @param peakRatio largest ratio, at an accept, of an engine's load to the larger of the mean
     *     load and the skew floor
     * @param peakLoad largest number of requests in progress at one engine at an accept
     * @param aboveBound accepts above the skew bound
     * @param coldViolations number of accepts above the cold-start limit
     */
    public record Skew(
            int accepts,
            double peakRatio,
            int peakLoad,
            List<Violation> aboveBound,
            int coldViolations) {
        /** Returns the number of accepts above the skew bound. */
        public int violations() {
            return aboveBound.size();
        }
    }

    /**
     * An accept above the skew bound.
     *
     * @param engine engine that accepted the request
     * @param atMillis wall-clock time of the accept
     * @param request id of the accepted request
     * @param load requests in progress at the engine, including this one
     * @param mean largest mean load of the engines in service within the last 10 s
     */
    public record Violation(
            TargetId engine, long atMillis, String request, int load, double mean) {}

    /** Creates checks against the given limits, without any logs. */
    public EngineChecks(AdmissionLimits limits) {
        this.limits = limits;
    }

    /** Adds the log of an engine, as its {@code /log} endpoint returns it. */
    public void add(TargetId engine, FailureDomainId domain, JsonArray log) {
        engines.add(engine);
        for (Object o : log) {
            JsonObject e = (JsonObject) o;
            entries.add(new LogEntry(e.getLong("at"), engine, domain, e.getString("kind"), e));
        }
        entries.sort(Comparator.comparingLong(LogEntry::atMillis));
    }

    /**
     * Excludes an engine from the mean load during an interval, because the skew bound refers to
     * the engines in service. The end is exclusive.
     */
    public void excludeFromMean(TargetId engine, long fromMillis, long toMillis) {
        outOfService.add(new OutOfService(engine, fromMillis, toMillis));
    }

    /** Checks the skew bound and the cold-start limit at each accept. Add all logs first. */
    public Skew skew() {
        Map<TargetId, Integer> load = new TreeMap<>();
        List<double[]> means = new ArrayList<>();
        int accepts = 0;
        int peakLoad = 0;
        List<Violation> violations = new ArrayList<>();
        int coldViolations = 0;
        double peakRatio = 0;
        for (LogEntry e : entries) {
            int current = load.merge(e.engine(), loadChange(e.kind()), Integer::sum);
            double mean = mean(load, e.atMillis());
            means.add(new double[] {e.atMillis(), mean});
            if (!e.kind().equals("accepted")) {
                continue;
            }
            accepts++;
            peakLoad = Math.max(peakLoad, current);
            double largestMean = largestMean(means, e.atMillis());
            if (current > limits.skewBound(largestMean)) {
                violations.add(
                        new Violation(
                                e.engine(),
                                e.atMillis(),
                                e.fields().getString("request"),
                                current,
                                largestMean));
            }
            boolean cold = e.fields().getBoolean("cold", false);
            coldViolations += cold && current > limits.coldStartLimit() ? 1 : 0;
            peakRatio = Math.max(peakRatio, current / Math.max(limits.skewFloor(), largestMean));
        }
        return new Skew(accepts, peakRatio, peakLoad, violations, coldViolations);
    }

    /** Counts the requests that a failure domain accepted in an interval; the end is exclusive. */
    public long accepts(FailureDomainId domain, long fromMillis, long toMillis) {
        return entries.stream()
                .filter(e -> e.kind().equals("accepted") && e.domain().equals(domain))
                .filter(e -> e.atMillis() >= fromMillis && e.atMillis() < toMillis)
                .count();
    }

    /** Counts the requests that one engine accepted in an interval; the end is exclusive. */
    public long accepts(TargetId engine, long fromMillis, long toMillis) {
        return entries.stream()
                .filter(e -> e.kind().equals("accepted") && e.engine().equals(engine))
                .filter(e -> e.atMillis() >= fromMillis && e.atMillis() < toMillis)
                .count();
    }

    /**
     * Returns the largest number of requests in progress at one engine after any log entry in an
     * interval; 0 without entries. The end is exclusive.
     */
    public int peakLoad(long fromMillis, long toMillis) {
        Map<TargetId, Integer> load = new TreeMap<>();
        int peak = 0;
        for (LogEntry e : entries) {
            int current = load.merge(e.engine(), loadChange(e.kind()), Integer::sum);
            if (e.atMillis() >= fromMillis && e.atMillis() < toMillis) {
                peak = Math.max(peak, current);
            }
        }
        return peak;
    }

    /**
     * Sums the usage of finished and cancelled requests by workspace: requests, prompt tokens and
     * completion tokens, in this order.
     */
    public Map<String, long[]> usage() {
        Map<String, long[]> sums = new TreeMap<>();
        for (LogEntry e : entries) {
            if (loadChange(e.kind()) >= 0) {
                continue;
            }
            JsonObject usage = e.fields().getJsonObject("usage");
            long[] sum = sums.computeIfAbsent(e.fields().getString("workspace"), w -> new long[3]);
            sum[0]++;
            sum[1] += usage.getLong("prompt_tokens");
            sum[2] += usage.getLong("completion_tokens");
        }
        return sums;
    }

    private static int loadChange(String kind) {
        return switch (kind) {
            case "accepted" -> 1;
            case "finished", "cancelled" -> -1;
            default -> 0;
        };
    }

    private double mean(Map<TargetId, Integer> load, long atMillis) {
        return engines.stream()
                .filter(
                        e ->
                                outOfService.stream()
                                        .noneMatch(interval -> interval.covers(e, atMillis)))
                .mapToInt(e -> load.getOrDefault(e, 0))
                .average()
                .orElse(0);
    }

    private static double largestMean(List<double[]> means, long atMillis) {
        double largestMean = 0;
        for (int i = means.size() - 1; i >= 0; i--) {
            largestMean = Math.max(largestMean, means.get(i)[1]);
            if (means.get(i)[0] < atMillis - MEAN_WINDOW_MS) {
                break;
            }
        }
        return largestMean;
    }
}
