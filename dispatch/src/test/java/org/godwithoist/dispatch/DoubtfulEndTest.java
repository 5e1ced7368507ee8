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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class DoubtfulEndTest {
    private static final ServiceId SERVICE = new ServiceId("service");
    private static final RouteId ROUTE = new RouteId("r");

    private final VirtualTicker ticker = new VirtualTicker();
    private final TargetDirectory directory = new TargetDirectory(ticker);
    private final StatedEnds statedEnds = new StatedEnds(ticker);
    private final DoubtfulEnd end = new DoubtfulEnd();
    private final Target first = target("t1");
    private final Target second = target("t2");

    private Target target(String id) {
        directory.put(
                new TargetEntry(
                        new TargetId(id),
                        SERVICE,
                        new Endpoint("10.0.0.1", 80),
                        new FailureDomainId("d"),
                        1,
                        false,
                        Duration.ZERO,
                        0));
        return directory.targets(SERVICE).stream()
                .filter(t -> t.id().value().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private void record(Target target, String body) {
        record(target, body, EndEvidence.ORDERLY_CLOSE);
    }

    private void record(Target target, String body, EndEvidence evidence) {
        ResponseHead head = ResponseHead.of(200, List.of(), BodyEnd.CONNECTION);
        byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
        end.record(
                target,
                AttemptResult.of(AttemptOutcome.UNCONFIRMED, OptionalLong.empty(), "")
                        .withBody(
                                new ResponseBody(
                                        BodyEnd.CONNECTION,
                                        bytes.length,
                                        Optional.of(evidence),
                                        RouteResponses.NONE))
                        .withUnsent(new BufferedResponse(head, bytes)));
    }

    private void recordStated(long bytes) {
        for (int i = 0; i < BodySizes.MIN_COUNT; i++) {
            statedEnds.record(SERVICE, ROUTE, bytes);
        }
    }

    private ToldEnd toldEnd(RouteKind kind) {
        return end.toldEnd(route(kind), statedEnds);
    }

    private static Route route(RouteKind kind) {
        return route(kind, false);
    }

    private static Route route(RouteKind kind, boolean resumable) {
        return new Route(
                ROUTE,
                "host",
                "/",
                kind,
                resumable,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ZERO,
                0,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                true,
                false);
    }

    private String unsent() {
        return new String(end.unsent().orElseThrow().body(), StandardCharsets.US_ASCII);
    }

    @Nested
    final class OneResponse {
        /** Guards against sound responses of services that never state an end, and are lost. */
        @ParameterizedTest
        @EnumSource
        void orderlyCloseIsToldUnstated(RouteKind kind) {
            record(first, "body");
            assertEquals(ToldEnd.UNSTATED, toldEnd(kind));
        }

        /** Guards against reads that are lost because of the ends of another route's responses. */
        @Test
        void readIsToldUnstatedWhereAnotherRouteStatesEnds() {
            statedEnds.record(SERVICE, new RouteId("other"), 100);
            record(first, "body");
            assertEquals(ToldEnd.UNSTATED, toldEnd(RouteKind.IDEMPOTENT));
        }

        /** Guards against a part of a read that is told where the caller can repeat it. */
        @Test
        void readIsNotToldWhereEndsAreStatedAsARule() {
            statedEnds.record(SERVICE, ROUTE, 100);
            record(first, "body");
            assertEquals(ToldEnd.BROKEN, toldEnd(RouteKind.IDEMPOTENT));
            assertTrue(end.isPresent());
        }

        /** Guards against a response that cannot be repeated and is lost. */
        @Test
        void bookingIsToldUnstatedWhereEndsAreStatedAsARule() {
            statedEnds.record(SERVICE, ROUTE, 100);
            first.recordCutBody();
            record(first, "body");
            assertEquals(ToldEnd.UNSTATED, toldEnd(RouteKind.NON_IDEMPOTENT));
        }

        /** Guards against whole reads that are lost although their size shows that they are. */
        @Test
        void readOfTheOnlySizeOfItsRouteIsTold() {
            recordStated("body".length());
            record(first, "body");
            assertEquals(ToldEnd.UNSTATED, toldEnd(RouteKind.IDEMPOTENT));
        }

        /** Guards against a part of a stream that its caller could resume. */
        @Test
        void resumableStreamIsBrokenOffWhereManyEndsAreStated() {
            recordStated("body".length());
            record(first, "body");
            assertEquals(ToldEnd.BROKEN, end.toldEnd(route(RouteKind.STREAMING, true), statedEnds));
        }

        /** Guards against a part of a failure that a caller gets who can repeat its request. */
        @ParameterizedTest
        @EnumSource
        void failureIsToldWhereTheRequestRunsOnce(RouteKind kind) {
            Route route = route(kind);
            assertEquals(
                    route.allowsReexecution() ? ToldEnd.BROKEN : ToldEnd.UNSTATED,
                    ToldEnd.ofFailure(EndEvidence.ORDERLY_CLOSE, route));
            assertEquals(ToldEnd.BROKEN, ToldEnd.ofFailure(EndEvidence.PARTIAL_COPY, route));
            assertEquals(ToldEnd.STATED, ToldEnd.ofFailure(EndEvidence.STATED, route));
        }

        /** Guards against reads that are refused because of ends that were stated long ago. */
        @Test
        void statedEndsAreForgotten() {
            statedEnds.record(SERVICE, ROUTE, 100);
            ticker.advance(Duration.ofMinutes(2));
            record(first, "body");
            assertEquals(ToldEnd.UNSTATED, toldEnd(RouteKind.IDEMPOTENT));
        }

        /** Guards against a response before a part of a copy that is told as whole. */
        @ParameterizedTest
        @EnumSource
        void connectionThatEndsInsideACopyIsNotTold(RouteKind kind) {
            record(first, "body", EndEvidence.PARTIAL_COPY);
            assertEquals(ToldEnd.BROKEN, toldEnd(kind));
        }

        /** Guards against a read that is told right after its target has cut a body. */
        @Test
        void readOfATargetThatCutsBodiesIsNotTold() {
            first.recordCutBody();
            record(first, "body");
            assertEquals(ToldEnd.BROKEN, toldEnd(RouteKind.IDEMPOTENT));
        }
    }

    @Nested
    final class RepeatedBodies {
        private static final String TWICE = "a body that stands here. a body that stands here. ";

        /** Guards against a body written twice that is told because no target could be asked. */
        @Test
        void oneIsNotTold() {
            record(first, TWICE, EndEvidence.REPEATED_BODY);
            assertEquals(ToldEnd.BROKEN, toldEnd(RouteKind.IDEMPOTENT));
        }

        /** Guards against sound bodies that repeat themselves and are lost at all targets. */
        @Test
        void sameBytesOfTwoTargetsAreTold() {
            record(first, TWICE, EndEvidence.REPEATED_BODY);
            record(second, TWICE, EndEvidence.REPEATED_BODY);
            assertEquals(ToldEnd.STATED, toldEnd(RouteKind.IDEMPOTENT));
            assertEquals(TWICE, unsent());
        }

        /** Guards against two bodies written twice that confirm each other. */
        @Test
        void otherBytesOfTwoTargetsAreNotTold() {
            record(first, TWICE, EndEvidence.REPEATED_BODY);
            record(second, TWICE.replace('a', 'b'), EndEvidence.REPEATED_BODY);
            assertEquals(ToldEnd.BROKEN, toldEnd(RouteKind.IDEMPOTENT));
        }

        /** Guards against a body written twice that is preferred because it is longer. */
        @Test
        void otherResponseIsKept() {
            record(first, TWICE, EndEvidence.REPEATED_BODY);
            record(second, "a body that stands here. ");
            assertEquals("a body that stands here. ", unsent());
            assertFalse(second.isKnownToCutBodies());
        }

        /** Guards against the same at services that never state an end, in both orders. */
        @Test
        void otherResponseWithoutAStatedEndIsKept() {
            String once = TWICE.substring(0, TWICE.length() / 2);
            record(first, TWICE);
            record(second, once);
            assertEquals(once, unsent());
            record(first, TWICE);
            assertEquals(once, unsent());
            assertFalse(first.isKnownToCutBodies());
            assertFalse(second.isKnownToCutBodies());
        }
    }

    @Nested
    final class UnusualStatedSizes {
        /** Guards against a list that has grown, and is lost because no target could be asked. */
        @Test
        void oneIsTold() {
            recordStated(3);
            record(first, "a long list", EndEvidence.UNUSUAL_STATED_SIZE);
            assertEquals(ToldEnd.STATED, toldEnd(RouteKind.IDEMPOTENT));
        }

        /** Guards against a stated end that yields to one that nobody has stated. */
        @Test
        void oneIsKeptBesideAnUnstatedEnd() {
            record(first, "a long list", EndEvidence.UNUSUAL_STATED_SIZE);
            record(second, "a much longer list than that");
            assertEquals("a long list", unsent());
        }
    }

    @Nested
    final class TwoResponses {
        /** Guards against two parts that were cut at the same place and confirm each other. */
        @Test
        void responsesOfTheSameSizeConfirmNothing() {
            statedEnds.record(SERVICE, ROUTE, 100);
            record(first, "body one");
            record(second, "body two");
            assertEquals(ToldEnd.BROKEN, toldEnd(RouteKind.IDEMPOTENT));
        }

        /** Guards against equal parts that are told as whole. */
        @Test
        void equalResponsesConfirmNothing() {
            record(first, "body");
            record(second, "body");
            assertEquals(ToldEnd.UNSTATED, toldEnd(RouteKind.IDEMPOTENT));
        }

        /** Guards against a part that is told although the other response goes on. */
        @Test
        void longerResponseThatBeginsTheSameCounts() {
            record(first, "body and more");
            record(second, "body");
            assertEquals("body and more", unsent());
            assertTrue(second.isKnownToCutBodies());
            assertFalse(first.isKnownToCutBodies());
        }

        /** Guards against one of two parts that is told as whole. */
        @Test
        void responsesThatDifferAreNotToldWhereEndsAreStatedAsARule() {
            statedEnds.record(SERVICE, ROUTE, 100);
            record(first, "body of a run");
            record(second, "another one");
            assertEquals(ToldEnd.BROKEN, toldEnd(RouteKind.IDEMPOTENT));
        }

        /** Guards against the loss of all responses of services that never state an end. */
        @Test
        void longerResponseIsToldUnstatedWhereEndsAreNeverStated() {
            record(first, "body of a run");
            record(second, "another one");
            assertEquals(ToldEnd.UNSTATED, toldEnd(RouteKind.IDEMPOTENT));
            assertEquals("body of a run", unsent());
        }
    }
}
