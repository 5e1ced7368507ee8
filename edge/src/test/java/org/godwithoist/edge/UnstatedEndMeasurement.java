package org.godwithoist.edge;

import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.godwithoist.edge.ScriptedFleet.Result;
import org.godwithoist.edge.ScriptedFleet.RouteKind;
import org.godwithoist.standins.edge.ScriptedResponse;
import org.godwithoist.standins.edge.ScriptedResponse.Copy;
import org.godwithoist.standins.edge.ScriptedResponse.Cut;
import org.godwithoist.standins.edge.ScriptedResponse.Framing;
import org.godwithoist.standins.edge.ScriptedResponse.Moment;
import org.godwithoist.standins.edge.ScriptedResponse.Size;

/**
 * Counts what callers are told by daemon processes whose targets do not state the ends of their
 * responses: how many whole responses are lost, and how many parts look whole. Prints a line for
 * each kind of route, size and defect, first where nothing is known of the route, then after
 * responses whose ends were stated.
 */
public final class UnstatedEndMeasurement {
    private static final int CALLERS = 6;
    private static final int REQUESTS = 36;
    private static final String LINE = "%-16s %-6s %-8s %-28s %s%n";

    /** What the targets send. */
    private enum Defect {
        NONE(Cut.NONE, Copy.NONE),
        CUT_IN_ORDER(Cut.IN_THE_MIDDLE, Copy.NONE),
        CUT_BY_RESET(Cut.IN_THE_MIDDLE, Copy.RESET),
        JUNK_BEHIND(Cut.NONE, Copy.JUNK);

        private final Cut cut;
        private final Copy copy;

        Defect(Cut cut, Copy copy) {
            this.cut = cut;
            this.copy = copy;
        }

        private ScriptedResponse unstated(Size size) {
            return new ScriptedResponse(Framing.CONNECTION, cut, copy, Moment.AT_ONCE, 200, size);
        }
    }

    private UnstatedEndMeasurement() {}

    public static void main(String[] args) throws Exception {
        System.out.printf(LINE, "route", "size", "known", "targets send", "callers get");
        for (RouteKind kind : RouteKind.values()) {
            for (Size size : kind.streams ? List.of(Size.SHORT) : List.of(Size.values())) {
                for (Defect d : Defect.values()) {
                    measure(kind, size, d, false);
                    measure(kind, size, d, true);
                }
            }
        }
        System.exit(0);
    }

    private static void measure(RouteKind kind, Size size, Defect defect, boolean known)
            throws IOException, InterruptedException {
        try (ScriptedFleet fleet = new ScriptedFleet(Files.createTempDirectory("measurement"))) {
            if (known) {
                ScriptedResponse stated =
                        new ScriptedResponse(
                                Framing.LENGTH, Cut.NONE, Copy.NONE, Moment.AT_ONCE, 200, size);
                fleet.sendAll(kind, List.of(stated), REQUESTS, CALLERS);
            }
            List<Result> results =
                    fleet.sendAll(kind, List.of(defect.unstated(size)), REQUESTS, CALLERS);
            Map<String, Long> counts =
                    results.stream()
                            .collect(
                                    Collectors.groupingBy(
                                            r -> told(fleet, r),
                                            TreeMap::new,
                                            Collectors.counting()));
            System.out.printf(LINE, kind, size, known ? "yes" : "no", defect, counts);
        }
    }

    private static String told(ScriptedFleet fleet, Result result) {
        if (result.status() == 0) {
            return "broken off";
        }
        if (result.status() != 200) {
            return "status " + result.status();
        }
        String end = result.endStated() ? ", end stated" : ", closed in order";
        return (fleet.isWrong(result) ? "part" : "whole") + end;
    }
}
