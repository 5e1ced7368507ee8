package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class DoubtfulEndTest {
    private static final ServiceId SERVICE = new ServiceId("service");

    private final TargetDirectory directory = new TargetDirectory(new VirtualTicker());
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
        ResponseHead head = new ResponseHead(200, List.of(), OptionalLong.empty());
        byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
        end.record(
                target,
                AttemptResult.of(AttemptOutcome.UNCONFIRMED, OptionalLong.empty(), "")
                        .withBody(
                                new ResponseBody(
                                        BodyEnd.CONNECTION, bytes.length, Optional.of(evidence)))
                        .withUnsent(new BufferedResponse(head, bytes)));
    }

    private String unsent() {
        return new String(end.unsent().orElseThrow().body(), StandardCharsets.US_ASCII);
    }

    @Nested
    final class OneResponse {
        /** Guards against sound responses that are lost because nobody could be asked. */
        @Test
        void orderlyCloseIsBelieved() {
            record(first, "body");
            assertTrue(end.isBelieved());
            assertFalse(end.isResolved());
        }

        /** Guards against a response before a part of a copy that is told as whole. */
        @Test
        void connectionThatEndsInsideACopyIsNotBelieved() {
            record(first, "body", EndEvidence.PARTIAL_COPY);
            assertFalse(end.isBelieved());
            assertTrue(end.isPresent());
        }

        /** Guards against a target that is believed right after it has cut a body. */
        @Test
        void targetThatCutsBodiesIsNotBelieved() {
            first.recordCutBody();
            record(first, "body");
            assertFalse(end.isBelieved());
        }
    }

    @Nested
    final class TwoResponses {
        /** Guards against a whole response that is refused because a run changes its bytes. */
        @Test
        void responsesOfTheSameSizeConfirmEachOther() {
            first.recordStatedEnd();
            record(first, "body one");
            record(second, "body two");
            assertTrue(end.isBelieved());
            assertTrue(end.isResolved());
            assertEquals("body two", unsent());
        }

        /** Guards against a part that is told as whole although the other response goes on. */
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
        void responsesThatDifferDoNotCountWhereEndsAreStatedAsARule() {
            second.recordStatedEnd();
            record(first, "body of a run");
            record(second, "another one");
            assertFalse(end.isBelieved());
            assertTrue(end.isResolved());
            assertTrue(end.unsent().isEmpty());
        }

        /** Guards against the loss of all responses of services that never state an end. */
        @Test
        void longerResponseCountsWhereEndsAreNeverStated() {
            record(first, "body of a run");
            record(second, "another one");
            assertTrue(end.isBelieved());
            assertEquals("body of a run", unsent());
        }
    }
}
