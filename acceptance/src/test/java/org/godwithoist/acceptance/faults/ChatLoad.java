package org.godwithoist.acceptance.faults;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.engine.GeneratedText;

/** Load of callers that each run chats of three turns, one after another, until stopped. */
final class ChatLoad {
    private static final List<String> WORKSPACES = List.of("antwerp", "ghent");

    /** Longer than the request deadline of 20 s in the bundle. */
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(22);

    private static final int TURNS = 3;
    private static final int MIN_WORDS = 40;
    private static final int WORDS_RANGE = 160;
    private static final int MAX_TURN_INTERVAL_MS = 100;

    private final Queue<ChatResult> results = new ConcurrentLinkedQueue<>();
    private final List<Thread> tasks = new ArrayList<>();
    private final StreamingCaller caller;
    private volatile boolean stopped;

    private ChatLoad(StreamingCaller caller) {
        this.caller = caller;
    }

    /**
     * Starts callers that wait until the deadline. A request that waits for a slot receives no
     * bytes, so a shorter idle time-out would be counted as a cut response.
     */
    static ChatLoad start(Vertx vertx, FaultFleet fleet, int callers) {
        return start(vertx, fleet, callers, DEFAULT_IDLE_TIMEOUT);
    }

    /** Starts callers that switch to another daemon after an idle time without any byte. */
    static ChatLoad start(Vertx vertx, FaultFleet fleet, int callers, Duration idle) {
        ChatLoad load = new ChatLoad(new StreamingCaller(vertx, fleet, idle));
        for (int i = 0; i < callers; i++) {
            int number = i;
            load.tasks.add(Tasks.start("caller-" + i, () -> load.runChats(number)));
        }
        return load;
    }

    /** Stops each caller after its current request and returns all responses. */
    List<ChatResult> stop() throws InterruptedException {
        stopped = true;
        for (Thread t : tasks) {
            t.join();
        }
        return List.copyOf(results);
    }

    /** Returns the responses received so far. */
    List<ChatResult> results() {
        return List.copyOf(results);
    }

    private void runChats(int number) {
        Random random = new Random(FaultFleet.SEED * 1_000 + number);
        String workspace = WORKSPACES.get(number % WORKSPACES.size());
        for (int chat = 0; !stopped; chat++) {
            JsonArray messages = new JsonArray();
            for (int turn = 0; turn < TURNS && !stopped; turn++) {
                messages.add(message("user", "caller " + number + " " + random.nextInt()));
                int words = MIN_WORDS + random.nextInt(WORDS_RANGE);
                String name = "chat-" + number + "-" + chat;
                results.add(caller.send(workspace, name, messages, words, random));
                messages.add(
                        message("assistant", GeneratedText.response(messages.encode(), words)));
                Tasks.sleep(Duration.ofMillis(random.nextInt(MAX_TURN_INTERVAL_MS)));
            }
        }
    }

    private static JsonObject message(String role, String content) {
        return new JsonObject().put("role", role).put("content", content);
    }
}
