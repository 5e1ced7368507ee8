package org.godwithoist.loadtool.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AlternativeTest {
    private static final int ENGINES = 8;
    private static final int DAEMONS = 6;
    private static final int SECONDS = 600;

    private static World run(Alternative a, long seed, int replaceEvery) {
        World w = new World(seed, ENGINES, DAEMONS, 2, 4, replaceEvery, SECONDS);
        AdmissionExperiment.run(w, a, Turn.trace(seed, ENGINES, DAEMONS, SECONDS), SECONDS, 0.01);
        return w;
    }

    @Nested
    class GrantedSlots {
        /** Guards against an accept above the skew bound during any of the injected faults. */
        @Test
        void keepTheBoundThroughAllFaults() {
            for (long seed = 1; seed <= 4; seed++) {
                World w = run(Alternative.GRANTED_SLOTS, seed, 0);
                assertEquals(0.0, w.overBoundPercent(), "seed " + seed);
                assertTrue(w.accepts() > 4_000, w.accepts() + " accepts with seed " + seed);
            }
        }

        /**
         * Guards against an accept above the skew bound while engines are replaced by cold ones.
         */
        @Test
        void keepTheBoundWhileEnginesAreReplaced() {
            World w = run(Alternative.GRANTED_SLOTS, 1, 60);
            assertEquals(0.0, w.overBoundPercent());
            assertTrue(w.accepts() > 4_000, w.accepts() + " accepts");
        }

        /** Guards against results that are not reproducible. */
        @Test
        void sameSeedGivesTheSameFigures() {
            World a = run(Alternative.GRANTED_SLOTS, 7, 0);
            World b = run(Alternative.GRANTED_SLOTS, 7, 0);
            assertEquals(a.accepts(), b.accepts());
            assertEquals(a.controlBytes, b.controlBytes);
            assertEquals(a.reuse(), b.reuse());
        }
    }
}
