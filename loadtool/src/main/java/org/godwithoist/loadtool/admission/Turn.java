package org.godwithoist.loadtool.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * One turn of a simulated chat.
 *
 * @param arrivalNanos arrival time in nanoseconds since the start
 * @param chat number of the chat
 * @param daemon index of the daemon that receives the request
 * @param workspace number of the workspace
 * @param promptTokens number of prompt tokens, including the history
 * @param historyTokens number of tokens of earlier turns, which an engine may have cached
 * @param outputTokens number of tokens of the response
 */
record Turn(
        long arrivalNanos,
        int chat,
        int daemon,
        int workspace,
        int promptTokens,
        int historyTokens,
        int outputTokens) {
    private static final int WORKSPACE_COUNT = 10;
    private static final int MIN_FIRST_PROMPT_TOKENS = 1_000;
    private static final int FIRST_PROMPT_TOKENS_RANGE = 7_000;
    private static final int MAX_NEW_TOKENS = 400;
    private static final int MIN_OUTPUT_TOKENS = 60;
    private static final int OUTPUT_TOKENS_RANGE = 240;
    private static final double MEAN_EXTRA_PAUSE_SECONDS = 30;
    private static final int MAX_TURNS = 12;

    /** Keeps about half of the 16 slots of an engine in use. */
    private static final double TURNS_PER_SECOND_AND_ENGINE = 1.5;

    /**
     * Start of the surge. Until its end, workspace 0 starts {@link #SURGE_FACTOR} times its usual
     * number of chats.
     */
    private static final int SURGE_START_SECOND = 520;

    private static final int SURGE_END_SECOND = 560;
    private static final int SURGE_FACTOR = 10;

    /**
     * Generates a trace, sorted by arrival time; the same seed gives the same trace.
     *
     * @param seconds length of the trace; later turns are dropped
     */
    static List<Turn> generateTrace(long seed, int engines, int daemons, int seconds) {
        Random random = new Random(seed);
        List<Turn> turns = new ArrayList<>();
        double chatsPerSecond = engines * TURNS_PER_SECOND_AND_ENGINE / (1 + MAX_TURNS) * 2;
        double atSeconds = 0;
        int chat = 0;
        while (atSeconds < seconds) {
            atSeconds += -Math.log(1 - random.nextDouble()) / chatsPerSecond;
            int workspace = random.nextInt(WORKSPACE_COUNT);
            boolean surge =
                    atSeconds >= SURGE_START_SECOND
                            && atSeconds < SURGE_END_SECOND
                            && workspace == 0;
            for (int i = 0; i < (surge ? SURGE_FACTOR : 1); i++) {
                addChat(turns, random, atSeconds, chat++, daemons, workspace);
            }
        }
        turns.removeIf(t -> t.arrivalNanos() >= seconds * EventScheduler.NANOS_PER_SECOND);
        turns.sort(Comparator.comparingLong(Turn::arrivalNanos));
        return turns;
    }

    private static void addChat(
            List<Turn> turns,
            Random random,
            double startSeconds,
            int chat,
            int daemons,
            int workspace) {
        int history = 0;
        int prompt = MIN_FIRST_PROMPT_TOKENS + random.nextInt(FIRST_PROMPT_TOKENS_RANGE);
        int count = 1 + random.nextInt(MAX_TURNS);
        double atSeconds = startSeconds;
        for (int i = 0; i < count; i++) {
            int output = MIN_OUTPUT_TOKENS + random.nextInt(OUTPUT_TOKENS_RANGE);
            long nanos = (long) (atSeconds * EventScheduler.NANOS_PER_SECOND);
            int daemon = random.nextInt(daemons);
            turns.add(new Turn(nanos, chat, daemon, workspace, prompt, history, output));
            history = prompt + output;
            prompt = history + 1 + random.nextInt(MAX_NEW_TOKENS);
            atSeconds += 10 - MEAN_EXTRA_PAUSE_SECONDS * Math.log(1 - random.nextDouble());
        }
    }
}
