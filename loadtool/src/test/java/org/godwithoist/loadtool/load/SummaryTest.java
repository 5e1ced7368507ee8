package org.godwithoist.loadtool.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.WorkspaceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SummaryTest {
    private final Summary summary = new Summary();

    private static TurnResult turn(TurnResult.Outcome outcome, long cached, long history) {
        Duration time = Duration.ofMillis(10);
        return new TurnResult(
                new WorkspaceId("workspace-0"),
                Priority.URGENT,
                0,
                outcome,
                time,
                time,
                8,
                1_000,
                cached,
                history,
                0,
                0);
    }

    @Nested
    class HistoryReuse {
        /** Guards against first turns, which have no history, lowering the reported reuse. */
        @Test
        void excludesFirstTurns() {
            summary.add(turn(TurnResult.Outcome.WHOLE, 0, 0));
            assertTrue(Double.isNaN(summary.historyReuse()));
            summary.add(turn(TurnResult.Outcome.WHOLE, 300, 400));
            assertEquals(0.75, summary.historyReuse());
        }

        /** Guards against a reuse above 1 and against counting turns without known usage. */
        @Test
        void countsAtMostTheHistoryOfCompleteResponses() {
            summary.add(turn(TurnResult.Outcome.WHOLE, 500, 400));
            summary.add(turn(TurnResult.Outcome.LOST, 0, 400));
            assertEquals(1.0, summary.historyReuse());
        }
    }
}
