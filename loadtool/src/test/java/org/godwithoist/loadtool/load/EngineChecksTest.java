package org.godwithoist.loadtool.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineChecksTest {
    private static final FailureDomainId DOMAIN = new FailureDomainId("domain-1");
    private static final TargetId BUSY = new TargetId("engine-1");
    private static final TargetId IDLE = new TargetId("engine-2");

    private final EngineChecks checks = new EngineChecks(AdmissionLimits.DEFAULT);

    EngineChecksTest() {
        JsonArray log = new JsonArray();
        for (int at = 1; at <= 6; at++) {
            log.add(new JsonObject().put("at", at).put("kind", "accepted"));
        }
        log.add(new JsonObject().put("at", 20).put("kind", "finished"));
        checks.add(BUSY, DOMAIN, log);
        checks.add(IDLE, DOMAIN, new JsonArray());
    }

    @Nested
    class EngineOutOfService {
        /** Guards against a mean load that includes engines out of service. */
        @Test
        void isExcludedFromMean() {
            assertEquals(2, checks.skew().violations());
            checks.excludeFromMean(IDLE, 0, 100);
            assertEquals(0, checks.skew().violations());
        }

        /** Guards against excluding an engine from the mean after it is back in service. */
        @Test
        void countsAgainAfterItsReturn() {
            checks.excludeFromMean(IDLE, 0, 5);
            assertEquals(0.0, checks.skew().peakRatio() - 6 / 4.0);
            assertEquals(0, checks.accepts(IDLE, 0, 100));
        }
    }

    @Nested
    class Interval {
        /** Guards against ignoring requests that were accepted before the interval. */
        @Test
        void includesRequestsInProgressAtItsStart() {
            assertEquals(6, checks.peakLoad(4, 100));
            assertEquals(5, checks.peakLoad(20, 100));
            assertEquals(0, checks.peakLoad(100, 200));
        }

        /** Guards against counting an accept in two adjacent intervals. */
        @Test
        void excludesItsEnd() {
            assertEquals(2, checks.accepts(BUSY, 2, 4));
        }
    }
}
