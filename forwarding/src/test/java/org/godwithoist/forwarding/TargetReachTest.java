package org.godwithoist.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TargetReachTest {
    private final VirtualTicker ticker = new VirtualTicker();
    private final TargetDirectory directory = new TargetDirectory(ticker);
    private final Set<String> responding = ConcurrentHashMap.newKeySet();
    private final Set<String> asked = ConcurrentHashMap.newKeySet();
    private final TargetReach reach =
            new TargetReach(
                    directory,
                    this::ask,
                    EventLog.start(OutputStream.nullOutputStream()),
                    ticker,
                    new SplittableRandom(1));

    private boolean ask(Target target) {
        asked.add(target.id().value());
        return responding.contains(target.id().value());
    }

    private void list(String service, String id) {
        directory.put(
                new TargetEntry(
                        new TargetId(id),
                        new ServiceId(service),
                        new Endpoint("10.0.0.1", 80),
                        new FailureDomainId("d"),
                        1,
                        false,
                        Duration.ZERO,
                        0));
    }

    @Nested
    final class Check {
        /** Guards against a daemon that gives up on all targets because some have failed. */
        @Test
        void oneTargetInReachIsEnough() {
            list("models", "a");
            list("models", "b");
            list("desk", "c");
            responding.add("c");
            reach.check();
            assertFalse(reach.isLost());
        }

        /** Guards against a daemon that goes on asking targets that it cannot reach. */
        @Test
        void noTargetInReachIsNoticed() {
            list("models", "a");
            list("desk", "b");
            reach.check();
            assertTrue(reach.isLost());
        }

        /** Guards against requests that are passed on for longer than necessary. */
        @Test
        void endsWhenATargetResponds() {
            list("models", "a");
            reach.check();
            responding.add("a");
            reach.check();
            assertFalse(reach.isLost());
        }

        /** Guards against a service whose fault counts as that of all. */
        @Test
        void asksTargetsOfEachService() {
            for (int i = 0; i < 8; i++) {
                list("models", "a" + i);
            }
            list("desk", "b");
            reach.check();
            assertTrue(asked.contains("b"), asked::toString);
            assertEquals(5, asked.size(), asked::toString);
        }

        /** Guards against many probes while some targets are at fault and all are in reach. */
        @Test
        void asksOneTargetIfItResponds() {
            for (int i = 0; i < 8; i++) {
                list("models", "a" + i);
                responding.add("a" + i);
            }
            reach.check();
            assertEquals(1, asked.size(), asked::toString);
        }

        /** Guards against many probes at targets that cannot be reached. */
        @Test
        void asksFewTargetsWhileNoneResponds() {
            for (int i = 0; i < 8; i++) {
                list("models", "a" + i);
            }
            reach.check();
            asked.clear();
            reach.check();
            assertEquals(2, asked.size(), asked::toString);
        }

        /** Guards against a daemon without targets that passes its requests on to others. */
        @Test
        void needsATarget() {
            reach.check();
            assertFalse(reach.isLost());
        }
    }
}
