package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
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

final class RetryPolicyTest {
    private static final ServiceId SERVICE = new ServiceId("service");

    private static RetryPolicy policy(RouteKind kind, boolean resumable, int maxAttempts) {
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
        return new RetryPolicy(route, OptionalLong.empty());
    }

    private static void endAttempt(RetryPolicy policy, int number, AttemptOutcome outcome) {
        endAttempt(policy, number, outcome, OptionalLong.empty());
    }

    private static void endAttempt(
            RetryPolicy policy, int number, AttemptOutcome outcome, OptionalLong lastEvent) {
        policy.recordAttempt(target(number), AttemptResult.of(outcome, lastEvent, ""));
    }

    private static void endWithBody(
            RetryPolicy policy, int number, AttemptResult result, EndEvidence evidence) {
        policy.recordAttempt(target(number), result.withBody(body(evidence)));
    }

    private static ResponseBody body(EndEvidence evidence) {
        return new ResponseBody(BodyEnd.CONNECTION, 0, Optional.of(evidence), RouteResponses.NONE);
    }

    private static AttemptResult unsent(String body) {
        ResponseHead head = ResponseHead.of(200, List.of(), BodyEnd.MARK);
        byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
        return AttemptResult.of(AttemptOutcome.UNCONFIRMED, OptionalLong.empty(), "")
                .withUnsent(new BufferedResponse(head, bytes));
    }

    private static Target target(int number) {
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
        return directory.targets(SERVICE).get(0);
    }

    @Nested
    final class Bookings {
        /** Guards against a booking that runs twice, whatever the outcome of the first attempt. */
        @Test
        void requestThatMayHaveRunIsNotRetried() {
            for (AttemptOutcome outcome : AttemptOutcome.values()) {
                RetryPolicy policy = policy(RouteKind.NON_IDEMPOTENT, false, 3);
                endAttempt(policy, 1, outcome);
                boolean didNotRun = !outcome.mayHaveRun();
                assertEquals(didNotRun, policy.permitsAttempt(), outcome.name());
            }
        }

        /** Guards against a "not run" response for a booking that a target may have run. */
        @Test
        void refusalPromisesNotRunOnlyIfCertain() {
            for (AttemptOutcome outcome : AttemptOutcome.values()) {
                RetryPolicy policy = policy(RouteKind.NON_IDEMPOTENT, false, 1);
                endAttempt(policy, 1, outcome);
                boolean didNotRun = !outcome.mayHaveRun();
                assertEquals(didNotRun, policy.refusal().promisesNotRun(), outcome.name());
            }
        }
    }

    @Nested
    final class Lookups {
        /** Guards against runs on more targets than the route permits. */
        @Test
        void runsAreLimitedByTheRoute() {
            RetryPolicy policy = policy(RouteKind.IDEMPOTENT, false, 2);
            endAttempt(policy, 1, AttemptOutcome.LOST);
            assertTrue(policy.permitsAttempt());
            endAttempt(policy, 2, AttemptOutcome.LOST);
            assertFalse(policy.permitsAttempt());
        }

        /** Guards against the body of a second run behind a part of the first one. */
        @Test
        void bodyThatHasBegunIsNotRepeated() {
            RetryPolicy policy = policy(RouteKind.IDEMPOTENT, false, 2);
            endAttempt(policy, 1, AttemptOutcome.BROKEN);
            assertFalse(policy.permitsAttempt());
        }

        /** Guards against counting rejections as runs of a request. */
        @Test
        void rejectionDoesNotCountAsRun() {
            RetryPolicy policy = policy(RouteKind.IDEMPOTENT, false, 1);
            endAttempt(policy, 1, AttemptOutcome.REJECTED);
            endAttempt(policy, 2, AttemptOutcome.UNREACHABLE);
            assertTrue(policy.permitsAttempt());
            assertEquals(Refusal.REJECTED, policy.refusal());
        }
    }

    @Nested
    final class EndsInDoubt {
        private static final String BODY = "a body that repeats itself";

        private static AttemptResult result(AttemptOutcome outcome) {
            return AttemptResult.of(outcome, OptionalLong.empty(), "");
        }

        private static boolean confirmsLongBody(AttemptResult first, EndEvidence evidence) {
            RetryPolicy policy = policy(RouteKind.IDEMPOTENT, false, 2);
            endWithBody(policy, 1, first, evidence);
            AttemptResult second =
                    result(AttemptOutcome.ANSWERED).withBody(body(EndEvidence.ORDERLY_CLOSE));
            policy.recordAttempt(target(2), second);
            return policy.confirmsLongBody(second);
        }

        /** Guards against a question about each long body of a service that states no ends. */
        @Test
        void longBodyAfterAnotherLongOneIsUsual() {
            AttemptResult unread = result(AttemptOutcome.UNCONFIRMED);
            assertTrue(confirmsLongBody(unread, EndEvidence.UNKNOWN_LENGTH));
        }

        /** Guards against junk that counts as usual because it follows a short body in doubt. */
        @Test
        void longBodyAfterAShortOneIsNotUsual() {
            assertFalse(confirmsLongBody(unsent(BODY), EndEvidence.ORDERLY_CLOSE));
        }

        private static boolean nextOnlyConfirms(AttemptResult first, EndEvidence evidence) {
            RetryPolicy policy = policy(RouteKind.IDEMPOTENT, false, 2);
            endWithBody(policy, 1, first, evidence);
            return policy.nextOnlyConfirms(new StatedEnds(new VirtualTicker()));
        }

        /** Guards against reads that are lost while retries of failed requests are left. */
        @Test
        void responseThatIsNotToldAloneCountsAsFailed() {
            AttemptResult unread = result(AttemptOutcome.UNCONFIRMED);
            assertFalse(nextOnlyConfirms(unread, EndEvidence.UNKNOWN_LENGTH));
            assertFalse(nextOnlyConfirms(unsent(BODY), EndEvidence.REPEATED_BODY));
        }

        /** Guards against confirmations that use up the retries of failed requests. */
        @Test
        void responseThatIsToldAloneIsOnlyConfirmed() {
            assertTrue(nextOnlyConfirms(unsent(BODY), EndEvidence.UNUSUAL_STATED_SIZE));
            assertTrue(nextOnlyConfirms(unsent(BODY), EndEvidence.ORDERLY_CLOSE));
        }

        /** Guards against a third target that is asked although two have agreed. */
        @Test
        void confirmedResponseIsNotAskedForAgain() {
            RetryPolicy policy = policy(RouteKind.IDEMPOTENT, false, 3);
            endWithBody(policy, 1, unsent(BODY), EndEvidence.REPEATED_BODY);
            assertTrue(policy.permitsAttempt());
            endWithBody(policy, 2, unsent(BODY), EndEvidence.REPEATED_BODY);
            assertFalse(policy.permitsAttempt());
        }
    }

    @Nested
    final class Streams {
        /** Guards against ending a stream as complete although a later target sent more events. */
        @Test
        void laterEventsShowThatAnUnconfirmedEndWasNone() {
            RetryPolicy policy = policy(RouteKind.STREAMING, true, 3);
            endAttempt(policy, 1, AttemptOutcome.UNCONFIRMED);
            assertTrue(policy.permitsAttempt());
            endAttempt(policy, 2, AttemptOutcome.REJECTED);
            assertTrue(policy.endInDoubt());
            endAttempt(policy, 3, AttemptOutcome.BROKEN, OptionalLong.of(7));
            assertFalse(policy.endInDoubt());
        }

        /** Guards against running a stream again on a route that does not permit resumption. */
        @Test
        void onlyResumableStreamsAreRetried() {
            RetryPolicy single = policy(RouteKind.STREAMING, false, 2);
            endAttempt(single, 1, AttemptOutcome.BROKEN);
            assertFalse(single.permitsAttempt());
            RetryPolicy resumable = policy(RouteKind.STREAMING, true, 2);
            endAttempt(resumable, 1, AttemptOutcome.BROKEN);
            assertTrue(resumable.permitsAttempt());
        }

        /** Guards against an event that the caller gets once from each of two targets. */
        @Test
        void streamIsNotResumedBeforeItsLastEvent() {
            for (boolean isResumable : List.of(true, false)) {
                RetryPolicy policy = policy(RouteKind.STREAMING, true, 2);
                BegunStream begun = new BegunStream(new NoResponse(), isResumable);
                OptionalLong lastEvent = OptionalLong.of(7);
                policy.recordAttempt(
                        target(1),
                        AttemptResult.of(AttemptOutcome.BROKEN, lastEvent, "")
                                .withStream(Optional.of(begun)));
                assertEquals(isResumable, policy.permitsAttempt());
            }
        }
    }

    private static final class NoResponse implements BegunResponse {
        @Override
        public void write(byte[] bytes, int from, int length) {}

        @Override
        public void finish() {}
    }
}
