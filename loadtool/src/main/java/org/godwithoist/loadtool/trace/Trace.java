package org.godwithoist.loadtool.trace;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.WorkspaceId;

/** Generates random chats; the same seed gives the same chats. */
public final class Trace {
    private static final int MIN_RESPONSE_WORDS = 10;
    private static final int RESPONSE_WORDS_RANGE = 30;
    private static final int PERCENT = 100;

    private final Deployment deployment;
    private final Random random;

    private Trace(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
    }

    /**
     * Generates a trace.
     *
     * @param chats number of chats
     * @param turns turns of each chat
     * @param meanPause mean of the exponentially distributed pauses before each turn
     */
    public static List<ChatPlan> generate(
            Deployment deployment, long seed, int chats, int turns, Duration meanPause) {
        Trace trace = new Trace(deployment, seed);
        List<ChatPlan> plans = new ArrayList<>();
        for (int i = 0; i < chats; i++) {
            plans.add(trace.chat(i, turns, meanPause));
        }
        return plans;
    }

    private ChatPlan chat(int number, int turns, Duration meanPause) {
        List<ChatPlan.TurnPlan> turnPlans = new ArrayList<>();
        for (int t = 0; t < turns; t++) {
            int words = t == 0 ? deployment.firstPromptWords() : deployment.turnWords();
            int wordCount = words / 2 + random.nextInt(words);
            int responseWords = MIN_RESPONSE_WORDS + random.nextInt(RESPONSE_WORDS_RANGE);
            turnPlans.add(
                    new ChatPlan.TurnPlan(
                            exponential(meanPause), message(number, t, wordCount), responseWords));
        }
        return new ChatPlan(
                new ChatId(deployment.wireName() + "-" + number),
                workspace(),
                deployment.priority(random),
                turnPlans);
    }

    private WorkspaceId workspace() {
        int draw = random.nextInt(PERCENT);
        List<Integer> weights = deployment.workspaceWeights();
        int i = 0;
        while (draw >= weights.get(i)) {
            draw -= weights.get(i);
            i++;
        }
        return new WorkspaceId("workspace-" + i);
    }

    private Duration exponential(Duration mean) {
        double factor = -Math.log(1 - random.nextDouble());
        return Duration.ofNanos((long) (mean.toNanos() * factor));
    }

    private String message(int chat, int turn, int words) {
        StringBuilder text = new StringBuilder("chat " + chat + " turn " + turn + ":");
        for (int i = 0; i < words; i++) {
            text.append(' ').append((char) ('a' + random.nextInt(26))).append(random.nextInt(10));
        }
        return text.toString();
    }
}
