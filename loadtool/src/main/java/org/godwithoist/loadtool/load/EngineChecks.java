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
 * Checks promises from the engines' own logs. The processes run on one machine, so the times of
 * their entries can be compared.
 */
public final class EngineChecks {
    /** The bound refers to the largest mean load within this time. */
    private static final long MEAN_WINDOW_MS = 10_000;

    private final AdmissionLimits limits;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Absence> absences = new ArrayList<>();
    private final Set<TargetId> engines = new TreeSet<>();

    /** A span of time in which an engine was not in service. */
    private record Absence(TargetId engine, long fromMillis, long toMillis) {
        boolean covers(TargetId e, long atMillis) {
            return engine.equals(e) && atMillis >= fromMillis && atMillis < toMillis;
        }
    }

    private record Entry(
            long atMillis,
            TargetId engine,
            FailureDomainId domain,
            String kind,
            JsonObject fields) {}

    /**
     * Result of the skew check.
     *
     * @param accepts requests accepted
     * @param peakRatio largest load of an engine over the mean at an accept, where the mean is at
     *     least the floor
     * @param peakLoad largest number of requests in progress at one engine
     * @param aboveBound accepts above the bound
     * @param coldViolations accepts above the cold-start limit
     */
    public record Skew(
            int accepts,
            double peakRatio,
            int peakLoad,
            List<Violation> aboveBound,
            int coldViolations) {
        /** Returns the number of accepts above the bound. */
        public int violations() {
            return aboveBound.size();
        }
    }

    /**
     * An accept above the skew bound.
     *
     * @param engine the engine
     * @param atMillis wall-clock time of the accept
     * @param request request that was accepted
     * @param load requests in progress at the engine, this one included
     * @param mean largest mean load of the engines in service within the window
     */
    public record Violation(
            TargetId engine, long atMillis, String request, int load, double mean) {}

    /** Makes checks against the limits of the bundle. */
    public EngineChecks(AdmissionLimits limits) {
        this.limits = limits;
    }

    /** Adds the log of an engine. */
    public void add(TargetId engine, FailureDomainId domain, JsonArray log) {
        engines.add(engine);
        for (Object o : log) {
            JsonObject e = (JsonObject) o;
            entries.add(new Entry(e.getLong("at"), engine, domain, e.getString("kind"), e));
        }
        entries.sort(Comparator.comparingLong(Entry::atMillis));
    }

    /**
     * Leaves an engine out of the mean load for a span of time, because the bound refers to the
     * engines in service.
     */
    public void absent(TargetId engine, long fromMillis, long toMillis) {
        absences.add(new Absence(engine, fromMillis, toMillis));
    }

    /** Checks the skew bound and the cold-start limit at each accept. */
    public Skew skew() {
        Map<TargetId, Integer> load = new TreeMap<>();
        List<double[]> means = new ArrayList<>();
        int accepts = 0;
        int peakLoad = 0;
        List<Violation> violations = new ArrayList<>();
        int coldViolations = 0;
        double peakRatio = 0;
        for (Entry e : entries) {
            int now = load.merge(e.engine(), change(e.kind()), Integer::sum);
            double mean = mean(load, e.atMillis());
            means.add(new double[] {e.atMillis(), mean});
            if (!e.kind().equals("accepted")) {
                continue;
            }
            accepts++;
            peakLoad = Math.max(peakLoad, now);
            double largest = largestMean(means, e.atMillis());
            if (now > limits.skewBound(largest)) {
                violations.add(
                        new Violation(
                                e.engine(),
                                e.atMillis(),
                                e.fields().getString("request"),
                                now,
                                largest));
            }
            boolean cold = e.fields().getBoolean("cold", false);
            coldViolations += cold && now > limits.coldStartLimit() ? 1 : 0;
            peakRatio = Math.max(peakRatio, now / Math.max(limits.skewFloor(), largest));
        }
        return new Skew(accepts, peakRatio, peakLoad, violations, coldViolations);
    }

    /** Counts the requests that engines of a failure domain accepted in a span of time. */
    public long accepts(FailureDomainId domain, long fromMillis, long toMillis) {
        return entries.stream()
                .filter(e -> e.kind().equals("accepted") && e.domain().equals(domain))
                .filter(e -> e.atMillis() >= fromMillis && e.atMillis() < toMillis)
                .count();
    }

    /** Counts the requests that one engine accepted in a span of time. */
    public long accepts(TargetId engine, long fromMillis, long toMillis) {
        return entries.stream()
                .filter(e -> e.kind().equals("accepted") && e.engine().equals(engine))
                .filter(e -> e.atMillis() >= fromMillis && e.atMillis() < toMillis)
                .count();
    }

    /** Returns the largest number of requests in progress at one engine in a span of time. */
    public int peakLoad(long fromMillis, long toMillis) {
        Map<TargetId, Integer> load = new TreeMap<>();
        int peak = 0;
        for (Entry e : entries) {
            int now = load.merge(e.engine(), change(e.kind()), Integer::sum);
            if (e.atMillis() >= fromMillis && e.atMillis() < toMillis) {
                peak = Math.max(peak, now);
            }
        }
        return peak;
    }

    /** Sums what the engines counted for each workspace: requests, prompt and completion tokens. */
    public Map<String, long[]> usage() {
        Map<String, long[]> sums = new TreeMap<>();
        for (Entry e : entries) {
            if (change(e.kind()) >= 0) {
                continue;
            }
            JsonObject u = e.fields().getJsonObject("usage");
            long[] sum = sums.computeIfAbsent(e.fields().getString("workspace"), w -> new long[3]);
            sum[0]++;
            sum[1] += u.getLong("prompt_tokens");
            sum[2] += u.getLong("completion_tokens");
        }
        return sums;
    }

    private static int change(String kind) {
        return switch (kind) {
            case "accepted" -> 1;
            case "finished", "cancelled" -> -1;
            default -> 0;
        };
    }

    private double mean(Map<TargetId, Integer> load, long atMillis) {
        return engines.stream()
                .filter(e -> absences.stream().noneMatch(a -> a.covers(e, atMillis)))
                .mapToInt(e -> load.getOrDefault(e, 0))
                .average()
                .orElse(0);
    }

    private static double largestMean(List<double[]> means, long atMillis) {
        double largest = 0;
        for (int i = means.size() - 1; i >= 0; i--) {
            largest = Math.max(largest, means.get(i)[1]);
            if (means.get(i)[0] < atMillis - MEAN_WINDOW_MS) {
                break;
            }
        }
        return largest;
    }
}
