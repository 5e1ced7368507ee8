package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.godwithoist.catalog.Route;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.RouteKind;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.catalog.WeightedService;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RepeatRuleTest {
    private static final ServiceId SERVICE = new ServiceId("service");

    private static RepeatRule rule(RouteKind kind, boolean resumable, int maxAttempts) {
        Route route =
                new Route(
                        new RouteId("r"),
                        "host",
                        "/",
                        kind,
                        resumable,
                        Duration.ofSeconds(1),
                        Duration.ofMillis(100),
                        Duration.ZERO,
                        0,
                        List.of(new WeightedService(SERVICE, 1)),
                        maxAttempts,
                        true,
                        false);
        return new RepeatRule(route, OptionalLong.empty());
    }

    private static void end(RepeatRule rule, int number, AttemptOutcome outcome) {
        TargetEntry entry =
                new TargetEntry(
                        new TargetId("t" + number),
                        SERVICE,
                        new Endpoint("10.0.0.1", 80),
                        new FailureDomainId("d"),
                        1,
                        false,
                        Duration.ZERO,
                        0);
        TargetDirectory directory = new TargetDirectory(new VirtualTicker());
        directory.put(entry);
        Target target = directory.targets(SERVICE).get(0);
        rule.ended(target, AttemptResult.of(outcome, OptionalLong.empty(), ""));
    }

    @Nested
    final class Bookings {
        /** Guards against a booking that runs twice, whatever the outcome of the first attempt. */
        @Test
        void nothingThatMayHaveRunIsSentAgain() {
            for (AttemptOutcome outcome : AttemptOutcome.values()) {
                RepeatRule rule = rule(RouteKind.NON_IDEMPOTENT, false, 3);
                end(rule, 1, outcome);
                boolean certain = !outcome.mayHaveRun();
                assertEquals(certain, rule.permitsAnother(), outcome.name());
            }
        }

        /** Guards against a "not run" response for a booking that a target may have run. */
        @Test
        void refusalPromisesOnlyWhatIsCertain() {
            for (AttemptOutcome outcome : AttemptOutcome.values()) {
                RepeatRule rule = rule(RouteKind.NON_IDEMPOTENT, false, 1);
                end(rule, 1, outcome);
                boolean certain = !outcome.mayHaveRun();
                assertEquals(certain, rule.refusal().promisesNotRun(), outcome.name());
            }
        }
    }

    @Nested
    final class Lookups {
        /** Guards against runs on more targets than the route permits. */
        @Test
        void runsEndAtTheLimitOfTheRoute() {
            RepeatRule rule = rule(RouteKind.IDEMPOTENT, false, 2);
            end(rule, 1, AttemptOutcome.LOST);
            assertTrue(rule.permitsAnother());
            end(rule, 2, AttemptOutcome.LOST);
            assertFalse(rule.permitsAnother());
        }

        /** Guards against counting rejections as runs of a request. */
        @Test
        void rejectionIsNoRun() {
            RepeatRule rule = rule(RouteKind.IDEMPOTENT, false, 1);
            end(rule, 1, AttemptOutcome.REJECTED);
            end(rule, 2, AttemptOutcome.UNREACHABLE);
            assertTrue(rule.permitsAnother());
            assertEquals(Refusal.REJECTED, rule.refusal());
        }
    }

    @Nested
    final class Streams {
        /** Guards against running a stream again on a route that does not permit resumption. */
        @Test
        void onlyResumableStreamsGoOn() {
            RepeatRule single = rule(RouteKind.STREAMING, false, 2);
            end(single, 1, AttemptOutcome.BROKEN);
            assertFalse(single.permitsAnother());
            RepeatRule resumable = rule(RouteKind.STREAMING, true, 2);
            end(resumable, 1, AttemptOutcome.BROKEN);
            assertTrue(resumable.permitsAnother());
        }
    }
}
