package org.godwithoist.routing;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;

/**
 * Decides at which target one request waits for a slot and when its options are compared again. A
 * request waits at a target as long as this is cheaper than the next option, including the time
 * already waited there. Holds no slot and blocks no thread. Not thread-safe.
 */
public final class SlotWaitPlanner {
    /** Interval between comparisons; the maximum age of the owner's data in a decision. */
    public static final Duration COMPARE_INTERVAL = Duration.ofMillis(250);

    private static final Duration UNLIMITED = Duration.ofDays(1);

    private final Ticker ticker;
    private final Deadline deadline;
    private final Duration maxFirst;
    private final Set<TargetId> left = new HashSet<>();
    private Optional<TargetId> at = Optional.empty();
    private long since;
    private boolean allAsked;

    /**
     * Decision until the next comparison.
     *
     * @param option target at which to request a slot
     * @param maxWait time until the next comparison, unless the owner's data change before
     */
    public record Step(RouteOption option, Duration maxWait) {}

    /**
     * Creates the planner of one request.
     *
     * @param deadline instant by which the response must start
     */
    public SlotWaitPlanner(Ticker ticker, Deadline deadline) {
        this(ticker, deadline, UNLIMITED);
    }

    /**
     * Creates the planner of one request with a limited wait at its first choice; for comparisons
     * of strategies.
     *
     * @param deadline instant by which the response must start
     * @param maxFirst maximum wait at the first choice, even if waiting longer were cheaper
     */
    public SlotWaitPlanner(Ticker ticker, Deadline deadline, Duration maxFirst) {
        this.ticker = ticker;
        this.deadline = deadline;
        this.maxFirst = maxFirst;
    }

    /**
     * Returns the targets at which a slot was requested without success, for {@link
     * RouteRequest#full()}.
     */
    public Set<TargetId> triedTargets() {
        Set<TargetId> asked = new HashSet<>(left);
        at.ifPresent(asked::add);
        return asked;
    }

    /**
     * Returns the time since the request began to wait at its current target; zero before the first
     * decision.
     */
    public Duration currentWait() {
        return at.isEmpty() ? Duration.ZERO : Duration.ofNanos(ticker.nanos() - since);
    }

    /**
     * Compares the options. A request stays at its target until the wait costs more than it saves,
     * even if another option looks cheaper: its own demand increases the wait that the owner
     * reports for the target, and a request that leaves loses its position in the queue.
     *
     * @param options at least one, cheapest first
     */
    public Step next(List<RouteOption> options) {
        Optional<RouteOption> present =
                options.stream().filter(o -> at.equals(Optional.of(o.target().id()))).findFirst();
        if (present.isPresent()) {
            double restMs = worthMs(present.get(), options) - millis(currentWait());
            boolean spent = restMs <= 0 || (isFirst() && currentWait().compareTo(maxFirst) >= 0);
            if (!spent || options.size() == 1) {
                return new Step(present.get(), maxWait(present.get(), restMs));
            }
        }
        at.ifPresent(left::add);
        if (options.stream().allMatch(o -> left.contains(o.target().id()))) {
            left.clear();
            allAsked = true;
        }
        RouteOption best =
                options.stream()
                        .filter(o -> !left.contains(o.target().id()))
                        .findFirst()
                        .orElseThrow();
        at = Optional.of(best.target().id());
        since = ticker.nanos();
        return new Step(best, maxWait(best, worthMs(best, options)));
    }

    private boolean isFirst() {
        return left.isEmpty() && !allAsked;
    }

    /** Returns the wait after which another option would have been cheaper, in milliseconds. */
    private double worthMs(RouteOption best, List<RouteOption> options) {
        double next = Double.POSITIVE_INFINITY;
        for (RouteOption o : options) {
            if (!o.target().id().equals(best.target().id())) {
                next = Math.min(next, o.costMs());
            }
        }
        // Once every target has been tried, a change of target only leads to the end of another
        // queue.
        return Math.max(next - serveMs(best), allAsked ? millis(COMPARE_INTERVAL) : 0);
    }

    private Duration maxWait(RouteOption option, double restMs) {
        double leftMs = Math.max(0, millis(deadline.left()) - serveMs(option));
        double ms = millis(COMPARE_INTERVAL);
        ms = isFirst() ? Math.min(ms, millis(maxFirst)) : ms;
        ms = Math.min(Math.min(ms, leftMs), restMs <= 0 ? ms : restMs);
        return Duration.ofNanos((long) (ms * 1e6));
    }

    private static double serveMs(RouteOption option) {
        return option.costMs() - option.waitMs();
    }

    private static double millis(Duration d) {
        return d.toNanos() / 1e6;
    }
}
