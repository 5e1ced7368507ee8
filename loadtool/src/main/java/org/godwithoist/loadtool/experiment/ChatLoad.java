package org.godwithoist.loadtool.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.load.ChatCaller;
import org.godwithoist.loadtool.load.Summary;
import org.godwithoist.loadtool.trace.ChatPlan;

/**
 * Steady load of multi-turn chats. Each caller sends one chat after another until the load is
 * stopped, so the number of chats and the length of their histories stay the same on average.
 */
final class ChatLoad {
    /** Mean pause between a response and the next turn. */
    static final Duration MEAN_PAUSE = Duration.ofSeconds(3);

    /** Turns of each chat; the first one has no cached history. */
    static final int TURNS_PER_CHAT = 10;

    private static final Duration DEADLINE = Duration.ofSeconds(20);

    private final ChatCaller caller;
    private final long seed;
    private final Summary summary = new Summary();
    private final List<Thread> callers = new ArrayList<>();
    private volatile boolean running = true;

    ChatLoad(ExperimentContext context) {
        caller = new ChatCaller(context.vertx(), context.fleet(), DEADLINE);
        seed = context.seed();
    }

    /** Returns the number of chats that a caller needs for a duration, with a reserve of 100 %. */
    static int chatsPerCaller(Duration duration) {
        return 2 + (int) (2 * duration.toSeconds() / (MEAN_PAUSE.toSeconds() * TURNS_PER_CHAT));
    }

    /** Starts callers; caller {@code i} sends the chats {@code i}, {@code i + count} and so on. */
    void start(List<ChatPlan> plans, int count) {
        for (int i = 0; i < count; i++) {
            int first = i;
            callers.add(
                    Tasks.start(
                            "caller-" + plans.get(first).chat(),
                            () -> sendChats(plans, first, count)));
        }
    }

    private void sendChats(List<ChatPlan> plans, int first, int stride) {
        for (int i = first; running && i < plans.size(); i += stride) {
            caller.sendChat(plans.get(i), seed, () -> running, summary::add);
        }
    }

    /** Stops the load, waits for the turns in progress and returns all results. */
    Summary stop() {
        running = false;
        for (Thread t : callers) {
            try {
                t.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return summary;
    }
}
