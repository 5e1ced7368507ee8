package org.godwithoist.loadtool.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.godwithoist.core.Priority;
import org.godwithoist.loadtool.load.Summary;
import org.godwithoist.loadtool.load.TurnResult;

/** Table columns with the statistics of chat turns. */
final class ChatColumns {
    private static final double MEDIAN = 50;
    private static final double P95 = 95;
    private static final String NONE = "-";

    private ChatColumns() {}

    /** Returns the headings. Latency columns show the first-token times in milliseconds. */
    static List<String> headings() {
        List<String> headings =
                new ArrayList<>(
                        List.of("turns", "whole", "late", "lost", "refused", "repeats", "reuse"));
        for (Priority p : Priority.values()) {
            headings.add(p.wireName() + " p50");
            headings.add("p95");
        }
        return headings;
    }

    /** Returns the cells for a set of turns; "-" where there is no value. */
    static List<String> cells(Summary turns) {
        List<String> cells = new ArrayList<>();
        cells.add(Integer.toString(turns.turns()));
        cells.add(Long.toString(turns.count(TurnResult.Outcome.WHOLE)));
        cells.add(Long.toString(turns.count(TurnResult.Outcome.LATE)));
        cells.add(
                Long.toString(
                        turns.count(TurnResult.Outcome.LOST)
                                + turns.count(TurnResult.Outcome.WRONG)));
        cells.add(Long.toString(turns.count(TurnResult.Outcome.REFUSED)));
        cells.add(Long.toString(turns.rejections()));
        double reuse = turns.historyReuse();
        cells.add(Double.isNaN(reuse) ? NONE : String.format(Locale.ROOT, "%.3f", reuse));
        for (Priority p : Priority.values()) {
            cells.add(millis(turns.firstToken(MEDIAN, r -> r.priority() == p)));
            cells.add(millis(turns.firstToken(P95, r -> r.priority() == p)));
        }
        return cells;
    }

    private static String millis(Duration time) {
        return time.isZero() ? NONE : Long.toString(time.toMillis());
    }
}
