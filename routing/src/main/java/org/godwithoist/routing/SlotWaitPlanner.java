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
    private final Duration maxFirstWait;
    private final Set<TargetId> abandoned = new HashSet<>();
    private Optional<TargetId> current = Optional.empty();
    private long currentSince;
    private boolean allTried;

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
     * @param maxFirstWait maximum wait at the first choice, even if waiting longer were cheaper
     */
    public SlotWaitPlanner(Ticker ticker, Deadline deadline, Duration maxFirstWait) {
        this.ticker = ticker;
        this.deadline = deadline;
        this.maxFirstWait = maxFirstWait;
    }

    /**
     * Returns the targets at which a slot was requested without success, for {@link
     * RouteRequest#full()}.
     */
    public Set<TargetId> triedTargets() {
        Set<TargetId> tried = new HashSet<>(abandoned);
        current.ifPresent(tried::add);
        return tried;
    }

    /**
     * Returns the time since the request began to wait at its current target; zero before the first
     * decision.
     */
    public Duration currentWait() {
        return current.isEmpty() ? Duration.ZERO : Duration.ofNanos(ticker.nanos() - currentSince);
    }

    /**
     * Compares the options. A request stays at its target until the wait costs more than it saves,
     * even if another option looks cheaper: its own demand increases the wait that the owner
     * reports for the target, and a request that leaves loses its position in the queue.
     *
     * @param options at least one, cheapest first
     */
    public Step next(List<RouteOption> options) {
        Optional<RouteOption> currentOption =
                options.stream()
                        .filter(o -> current.equals(Optional.of(o.target().id())))
                        .findFirst();
        if (currentOption.isPresent()) {
            double remainingMs = breakEvenMs(currentOption.get(), options) - millis(currentWait());
            boolean exhausted =
                    remainingMs <= 0
                            || (isFirstChoice() && currentWait().compareTo(maxFirstWait) >= 0);
            if (!exhausted || options.size() == 1) {
                return new Step(currentOption.get(), maxWait(currentOption.get(), remainingMs));
            }
        }
        current.ifPresent(abandoned::add);
        if (options.stream().allMatch(o -> abandoned.contains(o.target().id()))) {
            abandoned.clear();
            allTried = true;
        }
        RouteOption best =
                options.stream()
                        .filter(o -> !abandoned.contains(o.target().id()))
                        .findFirst()
                        .orElseThrow();
        current = Optional.of(best.target().id());
        currentSince = ticker.nanos();
        return new Step(best, maxWait(best, breakEvenMs(best, options)));
    }

    private boolean isFirstChoice() {
        return abandoned.isEmpty() && !allTried;
    }

    /** Returns the wait after which another option would have been cheaper, in milliseconds. */
    private double breakEvenMs(RouteOption best, List<RouteOption> options) {
        double cheapestOther = Double.POSITIVE_INFINITY;
        for (RouteOption o : options) {
            if (!o.target().id().equals(best.target().id())) {
                cheapestOther = Math.min(cheapestOther, o.costMs());
            }
        }
        // Once every target has been tried, a change of target only leads to the end of another
        // queue.
        return Math.max(cheapestOther - serviceMs(best), allTried ? millis(COMPARE_INTERVAL) : 0);
    }

    private Duration maxWait(RouteOption option, double remainingMs) {
        double timeLeftMs = Math.max(0, millis(deadline.remaining()) - serviceMs(option));
        double ms = millis(COMPARE_INTERVAL);
        ms = isFirstChoice() ? Math.min(ms, millis(maxFirstWait)) : ms;
        ms = Math.min(Math.min(ms, timeLeftMs), remainingMs <= 0 ? ms : remainingMs);
        return Duration.ofNanos((long) (ms * 1e6));
    }

    private static double serviceMs(RouteOption option) {
        return option.costMs() - option.waitMs();
    }

    private static double millis(Duration d) {
        return d.toNanos() / 1e6;
    }
}
