package org.godwithoist.acceptance.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.List;
import org.godwithoist.acceptance.faults.ChatAnswer.End;
import org.godwithoist.acceptance.faults.ChatAnswer.Outcome;

/** Assertions on the responses that callers received. */
final class ChatChecks {
    private ChatChecks() {}

    /** Fails if there is no response, or one is lost, wrong or has a duplicate token. */
    static void assertWhole(List<ChatAnswer> answers) {
        assertFalse(answers.isEmpty(), "no caller got an answer");
        assertEquals(
                List.of(), answers.stream().filter(a -> a.outcome() != Outcome.WHOLE).toList());
    }

    /** Fails if a connection was cut after the request had been sent. */
    static void assertNeverCut(List<ChatAnswer> answers) {
        assertEquals(List.of(), answers.stream().filter(a -> a.has(End.CUT)).toList());
    }

    /** Fails if a rejection has a run state other than {@code not_run}. */
    static void assertRefusedAsNotRun(List<ChatAnswer> answers) {
        assertEquals(
                List.of(),
                answers.stream()
                        .flatMap(a -> a.attempts().stream())
                        .filter(a -> a.end() == End.REFUSED && !a.runState().equals("not_run"))
                        .toList());
    }

    static long count(List<ChatAnswer> answers, End end) {
        return answers.stream()
                .flatMap(a -> a.attempts().stream())
                .filter(a -> a.end() == end)
                .count();
    }

    static Duration longest(List<ChatAnswer> answers) {
        return answers.stream().map(ChatAnswer::took).max(Duration::compareTo).orElseThrow();
    }
}
