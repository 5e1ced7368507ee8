package org.godwithoist.loadtool.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * One turn of a simulated chat.
 *
 * @param at arrival time in nanoseconds since the start
 * @param chat number of the chat
 * @param daemon index of the daemon that receives the request
 * @param workspace number of the workspace
 * @param prompt number of prompt tokens, including the history
 * @param history number of tokens of earlier turns, which an engine may have cached
 * @param output number of tokens of the response
 */
record Turn(long at, int chat, int daemon, int workspace, int prompt, int history, int output) {
    private static final int WORKSPACES = 10;
    private static final int MIN_FIRST_PROMPT = 1_000;
    private static final int FIRST_PROMPT_SPREAD = 7_000;
    private static final int NEW_TOKENS = 400;
    private static final int MIN_OUTPUT = 60;
    private static final int OUTPUT_SPREAD = 240;
    private static final double RETURN_SECONDS = 30;
    private static final int MAX_TURNS = 12;

    /** Turns per second and engine; uses about half of its 16 slots. */
    private static final double TURNS_PER_ENGINE = 1.5;

    /** Start of the surge, in seconds: workspace 0 sends ten times its usual load until the end. */
    private static final int SURGE_FROM = 520;

    private static final int SURGE_TO = 560;
    private static final int SURGE_FACTOR = 10;

    /**
     * Generates a trace, sorted by arrival time; the same seed gives the same trace.
     *
     * @param seconds length of the trace; later turns are dropped
     */
    static List<Turn> trace(long seed, int engines, int daemons, int seconds) {
        Random random = new Random(seed);
        List<Turn> turns = new ArrayList<>();
        double chatsPerSecond = engines * TURNS_PER_ENGINE / (1 + MAX_TURNS) * 2;
        double at = 0;
        int chat = 0;
        while (at < seconds) {
            at += -Math.log(1 - random.nextDouble()) / chatsPerSecond;
            int workspace = random.nextInt(WORKSPACES);
            boolean surge = at >= SURGE_FROM && at < SURGE_TO && workspace == 0;
            for (int i = 0; i < (surge ? SURGE_FACTOR : 1); i++) {
                addChat(turns, random, at, chat++, daemons, workspace);
            }
        }
        turns.removeIf(t -> t.at() >= seconds * VirtualTime.SECOND);
        turns.sort(Comparator.comparingLong(Turn::at));
        return turns;
    }

    private static void addChat(
            List<Turn> turns, Random random, double start, int chat, int daemons, int workspace) {
        int history = 0;
        int prompt = MIN_FIRST_PROMPT + random.nextInt(FIRST_PROMPT_SPREAD);
        int count = 1 + random.nextInt(MAX_TURNS);
        double at = start;
        for (int i = 0; i < count; i++) {
            int output = MIN_OUTPUT + random.nextInt(OUTPUT_SPREAD);
            long nanos = (long) (at * VirtualTime.SECOND);
            int daemon = random.nextInt(daemons);
            turns.add(new Turn(nanos, chat, daemon, workspace, prompt, history, output));
            history = prompt + output;
            prompt = history + 1 + random.nextInt(NEW_TOKENS);
            at += 10 - RETURN_SECONDS * Math.log(1 - random.nextDouble());
        }
    }
}
