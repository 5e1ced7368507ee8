package org.godwithoist.loadtool.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AlternativeTest {
    private static final int ENGINES = 8;
    private static final int DAEMONS = 6;
    private static final int SECONDS = 600;

    private static Simulation run(Alternative a, long seed, int replaceEvery) {
        Simulation sim = new Simulation(seed, ENGINES, DAEMONS, 2, 4, replaceEvery, SECONDS);
        AdmissionExperiment.run(
                sim, a, Turn.generateTrace(seed, ENGINES, DAEMONS, SECONDS), SECONDS, 0.01);
        return sim;
    }

    @Nested
    class GrantedSlots {
        /** Guards against an accept above the skew bound during any of the injected faults. */
        @Test
        void keepSkewBoundDuringFaults() {
            for (long seed = 1; seed <= 4; seed++) {
                Simulation sim = run(Alternative.GRANTED_SLOTS, seed, 0);
                assertEquals(0.0, sim.overBoundPercent(), "seed " + seed);
                assertTrue(sim.accepts() > 4_000, sim.accepts() + " accepts with seed " + seed);
            }
        }

        /**
         * Guards against an accept above the skew bound while engines are replaced by cold ones.
         */
        @Test
        void keepSkewBoundWhileEnginesAreReplaced() {
            Simulation sim = run(Alternative.GRANTED_SLOTS, 1, 60);
            assertEquals(0.0, sim.overBoundPercent());
            assertTrue(sim.accepts() > 4_000, sim.accepts() + " accepts");
        }

        /**
         * Guards against a simulation that depends on more than its seed, such as the order of a
         * hash map.
         */
        @Test
        void sameSeedGivesSameResults() {
            Simulation a = run(Alternative.GRANTED_SLOTS, 7, 0);
            Simulation b = run(Alternative.GRANTED_SLOTS, 7, 0);
            assertEquals(a.accepts(), b.accepts());
            assertEquals(a.controlBytes, b.controlBytes);
            assertEquals(a.historyReuse(), b.historyReuse());
        }
    }
}
