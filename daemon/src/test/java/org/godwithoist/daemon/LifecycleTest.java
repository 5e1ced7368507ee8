package org.godwithoist.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.godwithoist.core.task.Tasks;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a drain that interrupts requests in progress or accepts new ones. */
class LifecycleTest {
    private static final Duration SHORT = Duration.ofMillis(50);
    private static final Duration LONG = Duration.ofSeconds(10);

    private final Lifecycle lifecycle = new Lifecycle();

    @Nested
    class WhileStarting {
        @Test
        void rejectsRequests() {
            assertFalse(lifecycle.beginRequest());
        }
    }

    @Nested
    class WhileDraining {
        @Test
        void rejectsNewRequests() {
            lifecycle.serve();
            lifecycle.drain();
            assertFalse(lifecycle.beginRequest());
            assertTrue(lifecycle.awaitIdle(SHORT));
        }

        @Test
        void waitsForRequestsInProgress() {
            lifecycle.serve();
            assertTrue(lifecycle.beginRequest());
            lifecycle.drain();
            assertFalse(lifecycle.awaitIdle(SHORT));
            Tasks.start(
                    "end-of-request",
                    () -> {
                        Tasks.sleep(SHORT);
                        lifecycle.endRequest();
                    });
            assertTrue(lifecycle.awaitIdle(LONG));
        }

        @Test
        void cannotGoBackToServing() {
            lifecycle.drain();
            lifecycle.serve();
            assertFalse(lifecycle.stage().acceptsRequests());
        }
    }
}
