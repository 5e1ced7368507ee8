package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.PromptPartId;
import org.godwithoist.targets.PromptPrefix;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CrashDetectorTest {
    private static final ServiceId SERVICE = new ServiceId("service");
    private static final Optional<WorkspaceId> WORKSPACE = Optional.of(new WorkspaceId("w"));
    private static final Duration CHECK_TIME = Duration.ofMillis(400);

    private final VirtualTicker ticker = new VirtualTicker();
    private final Quarantine quarantine =
            new Quarantine(EventLog.start(OutputStream.nullOutputStream()), ticker);
    private final StubGateway gateway = new StubGateway();
    private final CrashDetector detector = new CrashDetector(quarantine, gateway);
    private final TargetDirectory directory = new TargetDirectory(ticker);
    private int targets;

    /** Targets that have ended, and those whose listener ends late. */
    private static final class StubGateway implements TargetGateway {
        private final AtomicInteger presenceChecks = new AtomicInteger();
        private volatile boolean listens;

        @Override
        public AttemptResult attempt(Attempt attempt, CallerResponse response) {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean acceptsConnections(Target target) {
            return listens;
        }

        @Override
        public boolean responds(Target target) {
            return listens;
        }

        @Override
        public TargetPresence findPresence(Target target) {
            presenceChecks.incrementAndGet();
            return TargetPresence.ENDED;
        }
    }

    private Target newTarget(boolean draining) {
        TargetId id = new TargetId("t" + targets++);
        directory.put(
                new TargetEntry(
                        id,
                        SERVICE,
                        new Endpoint("10.0.0.1", 80),
                        new FailureDomainId("d"),
                        1,
                        draining,
                        Duration.ZERO,
                        1));
        return directory.targets(SERVICE).stream()
                .filter(t -> t.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private static Request request(String uri, Optional<PromptPrefix> prefix) {
        RequestHead head =
                new RequestHead(
                        new RequestId("r"),
                        "GET",
                        uri,
                        "host",
                        Optional.empty(),
                        Optional.empty(),
                        prefix,
                        Optional.empty(),
                        OptionalLong.empty(),
                        Optional.empty(),
                        List.of());
        return new Request(head, RequestBody.EMPTY, false, 0).identified(WORKSPACE);
    }

    private static Request request(String uri) {
        return request(uri, Optional.empty());
    }

    private void lose(Request request, Target target) {
        ticker.advance(Duration.ofMillis(10));
        AttemptResult lost = AttemptResult.of(AttemptOutcome.LOST, OptionalLong.empty(), "");
        detector.attemptEnded(request, target, lost, ticker.nanos());
    }

    private boolean isRefused(Request request) {
        return quarantine.remaining(request.suspectIds()).isPresent();
    }

    @Nested
    final class BeforeTheHead {
        /** Guards against crashes that are not seen because no byte of a response arrived. */
        @Test
        void requestWithoutAPromptIsRefusedAfterTwoCrashes() {
            lose(request("/deadly"), newTarget(false));
            assertFalse(isRefused(request("/deadly")));
            lose(request("/deadly"), newTarget(false));
            assertTrue(isRefused(request("/deadly")));
            assertFalse(isRefused(request("/sound")));
        }

        /** Guards against parts that are blamed because requests with them wait at a target. */
        @Test
        void partsOfThePromptAreNotBlamed() {
            List<PromptPartId> parts = List.of(new PromptPartId("shared"));
            PromptPrefix prompt =
                    new PromptPrefix(PrefixKey.of("p"), 10, parts, PrefixKey.of("whole"));
            for (int i = 0; i < 2; i++) {
                lose(request("/deadly", Optional.of(prompt)), newTarget(false));
            }
            assertTrue(isRefused(request("/deadly", Optional.of(prompt))));
            assertFalse(isRefused(request("/sound", Optional.of(prompt))));
        }
    }

    @Nested
    final class FailureResponses {
        /** Guards against a request that is refused although targets have survived it. */
        @Test
        void failureResponseClearsTheRequest() {
            lose(request("/missing"), newTarget(false));
            ticker.advance(Duration.ofMillis(10));
            ResponseHead head = new ResponseHead(404, List.of(), BodyEnd.LENGTH, 0);
            AttemptResult failure = AttemptResult.failure(new BufferedResponse(head, new byte[0]));
            detector.attemptEnded(request("/missing"), newTarget(false), failure, ticker.nanos());
            lose(request("/missing"), newTarget(false));
            assertFalse(isRefused(request("/missing")));
        }
    }

    @Nested
    final class PlannedEnds {
        /** Guards against requests that are blamed for the planned end of targets. */
        @Test
        void targetsThatAreGoingAwayDoNotCount() {
            for (int i = 0; i < 2; i++) {
                lose(request("/sound"), newTarget(true));
            }
            assertFalse(isRefused(request("/sound")));
        }
    }

    @Nested
    final class LateListeners {
        /** Guards against one question to the target for each request that it has lost. */
        @Test
        void targetIsCheckedOnceForAllItsRequests() {
            gateway.listens = true;
            for (int round = 1; round <= 2; round++) {
                Target target = newTarget(false);
                lose(request("/deadly"), target);
                for (int i = 0; i < 20; i++) {
                    lose(request("/sound-" + round + "-" + i), target);
                }
                Tasks.sleep(CHECK_TIME);
                assertEquals(round, gateway.presenceChecks.get());
            }
            assertTrue(isRefused(request("/deadly")));
            assertFalse(isRefused(request("/sound-1-0")));
        }
    }
}
