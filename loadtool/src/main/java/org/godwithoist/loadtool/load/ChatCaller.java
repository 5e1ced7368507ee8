package org.godwithoist.loadtool.load;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.function.Consumer;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.trace.ChatPlan;
import org.godwithoist.standins.engine.Words;

/**
 * Plays one chat as a well-behaved caller behind a balancer: each request goes to a random daemon,
 * a refusal that did not run is repeated, and a broken stream is continued at another daemon.
 */
public final class ChatCaller {
    private static final int OK = 200;
    private static final int MAX_ATTEMPTS = 40;
    private static final int MAX_CONNECTIONS = 512;
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(60);
    private static final String MODEL = "assistant";

    private final FleetMap fleet;
    private final HttpClient client;
    private final Duration deadline;

    /**
     * Makes a caller.
     *
     * @param deadline time after which a whole answer counts as late
     */
    public ChatCaller(Vertx vertx, FleetMap fleet, Duration deadline) {
        this.fleet = fleet;
        this.deadline = deadline;
        this.client =
                vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout(1_000),
                        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /** Plays a chat with its pauses and hands each result on. */
    public void play(ChatPlan plan, long seed, Consumer<TurnResult> results) {
        Random random = new Random(seed ^ plan.chat().hashCode());
        JsonArray messages = new JsonArray();
        for (ChatPlan.TurnPlan turn : plan.turns()) {
            if (!Tasks.sleep(turn.pause())) {
                return;
            }
            messages.add(new JsonObject().put("role", "user").put("content", turn.message()));
            String prompt = messages.encode();
            AnswerReader reader = new AnswerReader(text -> {});
            results.accept(turn(plan, turn, messages, reader, random));
            messages.add(
                    new JsonObject()
                            .put("role", "assistant")
                            .put("content", Words.answer(prompt, turn.answerWords())));
        }
    }

    /** Sends one turn and shows its text as it arrives. */
    public TurnResult say(ChatPlan plan, Consumer<String> onText) {
        JsonArray messages = new JsonArray();
        ChatPlan.TurnPlan turn = plan.turns().get(0);
        messages.add(new JsonObject().put("role", "user").put("content", turn.message()));
        return turn(plan, turn, messages, new AnswerReader(onText), new Random(0));
    }

    private TurnResult turn(
            ChatPlan plan,
            ChatPlan.TurnPlan turn,
            JsonArray messages,
            AnswerReader reader,
            Random random) {
        RequestId id = new RequestId(UUID.randomUUID().toString());
        Buffer body =
                new JsonObject()
                        .put("model", MODEL)
                        .put("messages", messages)
                        .put("max_tokens", turn.answerWords())
                        .put("stream", true)
                        .put("stream_options", new JsonObject().put("include_usage", true))
                        .toBuffer();
        String expected = Words.answer(messages.encode(), turn.answerWords());
        long startMillis = System.currentTimeMillis();
        long start = System.nanoTime();
        int refusals = 0;
        boolean lost = false;
        for (int i = 0; i < MAX_ATTEMPTS && !reader.done(); i++) {
            try {
                if (!attempt(plan, id, body, reader, random)) {
                    refusals++;
                    Tasks.sleep(RETRY_PAUSE);
                }
            } catch (RuntimeException e) {
                // A broken connection; the next attempt asks another daemon for the rest.
                lost = true;
                Tasks.sleep(RETRY_PAUSE);
            }
        }
        Duration took = Duration.ofNanos(System.nanoTime() - start);
        TurnResult.Outcome outcome = outcome(reader, expected, took, lost);
        long first = reader.firstTokenNanos();
        return new TurnResult(
                plan.workspace(),
                plan.priority(),
                startMillis,
                outcome,
                first == 0 ? took : Duration.ofNanos(first - start),
                took,
                Words.count(reader.text()),
                reader.promptTokens(),
                reader.cachedTokens(),
                refusals);
    }

    private TurnResult.Outcome outcome(
            AnswerReader reader, String expected, Duration took, boolean lost) {
        if (!reader.done()) {
            return lost || reader.lastOffset() > 0
                    ? TurnResult.Outcome.LOST
                    : TurnResult.Outcome.REFUSED;
        }
        if (reader.repeated() || !reader.text().equals(expected)) {
            return TurnResult.Outcome.WRONG;
        }
        return took.compareTo(deadline) > 0 ? TurnResult.Outcome.LATE : TurnResult.Outcome.WHOLE;
    }

    private boolean attempt(
            ChatPlan plan, RequestId id, Buffer body, AnswerReader reader, Random random) {
        List<FleetMap.DaemonAddress> daemons = fleet.daemons();
        Endpoint to = daemons.get(random.nextInt(daemons.size())).callers();
        var options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(to.ip())
                        .setPort(to.port())
                        .setURI("/v1/chat/completions")
                        .putHeader("Authorization", "Bearer " + fleet.keys().get(plan.workspace()))
                        .putHeader("Content-Type", "application/json")
                        .putHeader("X-Chat-Id", plan.chat().value())
                        .putHeader("X-Request-Id", id.value())
                        .putHeader("X-Priority", plan.priority().wireName());
        if (reader.lastOffset() > 0) {
            options.putHeader("Last-Event-ID", Long.toString(reader.lastOffset()));
        }
        return Await.result(
                client.request(options)
                        .compose((HttpClientRequest r) -> r.send(body))
                        .compose(r -> read(r, reader)),
                ANSWER_TIMEOUT);
    }

    private static Future<Boolean> read(HttpClientResponse r, AnswerReader reader) {
        if (r.statusCode() != OK) {
            return r.body().map(b -> false);
        }
        return reader.read(r).map(v -> true);
    }
}
