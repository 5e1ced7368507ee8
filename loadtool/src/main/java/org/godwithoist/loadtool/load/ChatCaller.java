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
 * Plays one chat as a well-behaved caller behind a balancer: each request goes to a random daemon,
 * a refusal that did not run is repeated, and a broken stream is continued at another daemon.
 */
public final class ChatCaller {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int OK = 200;
    private static final int MAX_ATTEMPTS = 40;
    private static final int MAX_CONNECTIONS = 512;
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(60);

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
        play(plan, seed, () -> true, results);
    }

    /**
     * Plays a chat as long as the load goes on.
     *
     * @param goesOn asked before each turn; the chat ends when it returns false
     */
    public void play(
            ChatPlan plan, long seed, BooleanSupplier goesOn, Consumer<TurnResult> results) {
        Random random = new Random(seed ^ plan.chat().hashCode());
        JsonArray messages = new JsonArray();
        long history = 0;
        for (ChatPlan.TurnPlan turn : plan.turns()) {
            if (!Tasks.sleep(turn.pause()) || !goesOn.getAsBoolean()) {
                return;
            }
            messages.add(new JsonObject().put("role", "user").put("content", turn.message()));
            String prompt = messages.encode();
            AnswerReader reader = new AnswerReader(text -> {});
            TurnResult result = turn(plan, turn, messages, reader, random, history);
            results.accept(result);
            if (result.outcome().complete()) {
                history = result.promptTokens() + result.words();
            }
            messages.add(
                    new JsonObject()
                            .put("role", "assistant")
                            .put("content", GeneratedText.response(prompt, turn.answerWords())));
        }
    }

    /** Sends one turn and shows its text as it arrives. */
    public TurnResult say(ChatPlan plan, Consumer<String> onText) {
        JsonArray messages = new JsonArray();
        ChatPlan.TurnPlan turn = plan.turns().get(0);
        messages.add(new JsonObject().put("role", "user").put("content", turn.message()));
        return turn(plan, turn, messages, new AnswerReader(onText), new Random(0), 0);
    }

    private TurnResult turn(
            ChatPlan plan,
            ChatPlan.TurnPlan turn,
            JsonArray messages,
            AnswerReader reader,
            Random random,
            long historyTokens) {
        RequestId id = new RequestId(UUID.randomUUID().toString());
        Buffer body =
                ChatPost.body(messages, turn.answerWords())
                        .put("stream_options", new JsonObject().put("include_usage", true))
                        .toBuffer();
        String expected = GeneratedText.response(messages.encode(), turn.answerWords());
        long startMillis = System.currentTimeMillis();
        long start = System.nanoTime();
        int refusals = 0;
        int cuts = 0;
        for (int i = 0; i < MAX_ATTEMPTS && !reader.done(); i++) {
            try {
                if (!attempt(plan, id, body, reader, random)) {
                    refusals++;
                    Tasks.sleep(RETRY_PAUSE);
                } else if (!reader.done()) {
                    cuts++;
                }
            } catch (RuntimeException e) {
                // A broken connection; the next attempt asks another daemon for the rest.
                cuts++;
                LOG.atInfo().log("%s broke after event %d: %s", id, reader.lastOffset(), e);
                Tasks.sleep(RETRY_PAUSE);
            }
        }
        Duration took = Duration.ofNanos(System.nanoTime() - start);
        TurnResult.Outcome outcome = outcome(reader, expected, took, cuts > 0);
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
                cuts,
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
        String key = fleet.keys().get(plan.workspace());
        var options =
                ChatPost.to(to, key, plan.chat(), id)
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
