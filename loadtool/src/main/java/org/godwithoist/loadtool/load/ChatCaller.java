package org.godwithoist.loadtool.load;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.trace.ChatPlan;
import org.godwithoist.standins.engine.GeneratedText;

/**
 * Sends chats as a caller behind a load balancer. Each attempt goes to a randomly chosen daemon. A
 * rejected request is retried, and a broken stream is resumed after the last event received.
 */
public final class ChatCaller {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int OK = 200;
    private static final int MAX_ATTEMPTS = 40;
    private static final int MAX_CONNECTIONS = 512;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(60);

    private final FleetMap fleet;
    private final HttpClient client;
    private final Duration deadline;

    /**
     * Creates a caller with its own connection pool; several chats may be sent concurrently.
     *
     * @param deadline time after which a complete response counts as late
     */
    public ChatCaller(Vertx vertx, FleetMap fleet, Duration deadline) {
        this.fleet = fleet;
        this.deadline = deadline;
        this.client =
                vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout(1_000),
                        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /**
     * Sends the turns of a chat with their pauses and passes each result on. Blocks until the end.
     */
    public void sendChat(ChatPlan plan, long seed, Consumer<TurnResult> results) {
        sendChat(plan, seed, () -> true, results);
    }

    /**
     * Sends the turns of a chat with their pauses and passes each result on. Blocks until the end.
     *
     * @param keepRunning checked before each turn; the chat ends when it returns false
     */
    public void sendChat(
            ChatPlan plan, long seed, BooleanSupplier keepRunning, Consumer<TurnResult> results) {
        Random random = new Random(seed ^ plan.chat().hashCode());
        JsonArray messages = new JsonArray();
        long history = 0;
        for (ChatPlan.TurnPlan turn : plan.turns()) {
            if (!Tasks.sleep(turn.pause()) || !keepRunning.getAsBoolean()) {
                return;
            }
            messages.add(new JsonObject().put("role", "user").put("content", turn.message()));
            String prompt = messages.encode();
            ResponseReader reader = new ResponseReader(text -> {});
            TurnResult result = sendTurn(plan, turn, messages, reader, random, history);
            results.accept(result);
            if (result.outcome().complete()) {
                history = result.promptTokens() + result.words();
            }
            messages.add(
                    new JsonObject()
                            .put("role", "assistant")
                            .put("content", GeneratedText.response(prompt, turn.responseWords())));
        }
    }

    /** Sends the first turn of a chat and passes the text on as it is received. */
    public TurnResult sendFirstTurn(ChatPlan plan, Consumer<String> onText) {
        JsonArray messages = new JsonArray();
        ChatPlan.TurnPlan turn = plan.turns().get(0);
        messages.add(new JsonObject().put("role", "user").put("content", turn.message()));
        return sendTurn(plan, turn, messages, new ResponseReader(onText), new Random(0), 0);
    }

    private TurnResult sendTurn(
            ChatPlan plan,
            ChatPlan.TurnPlan turn,
            JsonArray messages,
            ResponseReader reader,
            Random random,
            long historyTokens) {
        RequestId id = new RequestId(UUID.randomUUID().toString());
        Buffer body =
                ChatRequests.body(messages, turn.responseWords())
                        .put("stream_options", new JsonObject().put("include_usage", true))
                        .toBuffer();
        String expected = GeneratedText.response(messages.encode(), turn.responseWords());
        long startMillis = System.currentTimeMillis();
        long start = System.nanoTime();
        int rejections = 0;
        int brokenAttempts = 0;
        for (int i = 0; i < MAX_ATTEMPTS && !reader.done(); i++) {
            try {
                if (!attempt(plan, id, body, reader, random)) {
                    rejections++;
                    Tasks.sleep(RETRY_DELAY);
                } else if (!reader.done()) {
                    brokenAttempts++;
                }
            } catch (RuntimeException e) {
                // The connection broke or timed out; the next attempt continues after the last
                // event.
                brokenAttempts++;
                LOG.atInfo().log(
                        "attempt of request %s failed after event %d: %s",
                        id, reader.lastOffset(), e);
                Tasks.sleep(RETRY_DELAY);
            }
        }
        Duration took = Duration.ofNanos(System.nanoTime() - start);
        TurnResult.Outcome outcome = outcome(reader, expected, took, brokenAttempts > 0);
        long first = reader.firstTokenNanos();
        return new TurnResult(
                plan.workspace(),
                plan.priority(),
                startMillis,
                outcome,
                first == 0 ? took : Duration.ofNanos(first - start),
                took,
                GeneratedText.countWords(reader.text()),
                reader.promptTokens(),
                reader.cachedTokens(),
                historyTokens,
                brokenAttempts,
                rejections);
    }

    private TurnResult.Outcome outcome(
            ResponseReader reader, String expected, Duration took, boolean anyBroken) {
        if (!reader.done()) {
            return anyBroken || reader.lastOffset() > 0
                    ? TurnResult.Outcome.LOST
                    : TurnResult.Outcome.REFUSED;
        }
        if (reader.outOfSequence() || !reader.text().equals(expected)) {
            return TurnResult.Outcome.WRONG;
        }
        return took.compareTo(deadline) > 0 ? TurnResult.Outcome.LATE : TurnResult.Outcome.WHOLE;
    }

    private boolean attempt(
            ChatPlan plan, RequestId id, Buffer body, ResponseReader reader, Random random) {
        List<FleetMap.DaemonAddress> daemons = fleet.daemons();
        Endpoint to = daemons.get(random.nextInt(daemons.size())).callerEndpoint();
        String key = fleet.keys().get(plan.workspace());
        var options =
                ChatRequests.to(to, key, plan.chat(), id)
                        .putHeader("X-Priority", plan.priority().wireName());
        if (reader.lastOffset() > 0) {
            options.putHeader("Last-Event-ID", Long.toString(reader.lastOffset()));
        }
        return Await.result(
                client.request(options)
                        .compose((HttpClientRequest request) -> request.send(body))
                        .compose(response -> read(response, reader)),
                RESPONSE_TIMEOUT);
    }

    private static Future<Boolean> read(HttpClientResponse response, ResponseReader reader) {
        if (response.statusCode() != OK) {
            return response.body().map(b -> false);
        }
        return reader.read(response).map(v -> true);
    }
}
