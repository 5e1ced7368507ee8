package org.godwithoist.acceptance.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.List;
import org.godwithoist.acceptance.faults.ChatResult.End;
import org.godwithoist.acceptance.faults.ChatResult.Outcome;

/** Assertions on the responses that callers received. */
final class ChatChecks {
    private ChatChecks() {}

    /** Fails if there is no response, or one is lost, wrong or has a duplicate token. */
    static void assertComplete(List<ChatResult> results) {
        assertFalse(results.isEmpty(), "no result of any chat request was recorded");
        assertEquals(
                List.of(), results.stream().filter(r -> r.outcome() != Outcome.COMPLETE).toList());
    }

    /** Fails if a connection was cut after the request had been sent. */
    static void assertNeverCut(List<ChatResult> results) {
        assertEquals(List.of(), results.stream().filter(r -> r.has(End.CUT)).toList());
    }

    /** Fails if a rejection has a run state other than {@code not_run}. */
    static void assertRejectedAsNotRun(List<ChatResult> results) {
        assertEquals(
                List.of(),
                results.stream()
                        .flatMap(r -> r.attempts().stream())
                        .filter(a -> a.end() == End.REJECTED && !a.runState().equals("not_run"))
                        .toList());
    }

    static long count(List<ChatResult> results, End end) {
        return results.stream()
                .flatMap(r -> r.attempts().stream())
                .filter(a -> a.end() == end)
                .count();
    }

    static Duration maxDuration(List<ChatResult> results) {
        return results.stream().map(ChatResult::duration).max(Duration::compareTo).orElseThrow();
    }
}
