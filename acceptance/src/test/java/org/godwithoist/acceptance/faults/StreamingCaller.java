package org.godwithoist.acceptance.faults;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import org.godwithoist.acceptance.Fleet;
import org.godwithoist.acceptance.faults.ChatResult.Attempt;
import org.godwithoist.acceptance.faults.ChatResult.End;
import org.godwithoist.acceptance.faults.ChatResult.Outcome;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.load.ChatRequests;
import org.godwithoist.loadtool.load.ResponseReader;
import org.godwithoist.standins.engine.GeneratedText;

/**
 * Sends chat requests to random daemons and resumes a cut response at another daemon, as the API
 * reference requires of callers. Each attempt opens its own connection: a request sent on a
 * persistent connection that the daemon is just closing would be counted as a cut response.
 */
final class StreamingCaller {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(25);
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(25);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_CONNECTIONS = 256;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final FaultFleet fleet;
    private final HttpClient client;

    /**
     * Creates a caller.
     *
     * @param idle time without a byte after which the caller switches to another daemon
     */
    StreamingCaller(Vertx vertx, FaultFleet fleet, Duration idle) {
        this.fleet = fleet;
        this.client =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setConnectTimeout(1_000)
                                .setKeepAlive(false)
                                .setReadIdleTimeout((int) idle.toSeconds()),
                        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /**
     * Sends the messages of a chat, with retries, until the response is complete or 25 s are over.
     */
    ChatResult send(String workspace, String chat, JsonArray messages, int words, Random random) {
        JsonObject body = ChatRequests.body(messages, words);
        String id = new UUID(random.nextLong(), random.nextLong()).toString();
        ResponseReader reader = new ResponseReader(text -> {});
        List<Attempt> attempts = new ArrayList<>();
        long start = System.nanoTime();
        boolean resume = false;
        while (!reader.done() && System.nanoTime() - start < REQUEST_TIMEOUT.toNanos()) {
            String daemon = fleet.daemons().get(random.nextInt(fleet.daemons().size()));
            RequestOptions options = options(fleet.fleet(), daemon, workspace, chat, id);
            if (resume) {
                options.putHeader("Last-Event-ID", Long.toString(reader.lastOffset()));
            }
            Attempt a = attempt(options, daemon, body, reader);
            attempts.add(a);
            if (a.end() == End.DONE) {
                break;
            }
            if (a.detail().startsWith(NOT_FOUND + " ")) {
                if (reader.lastOffset() > 0) {
                    break;
                }
                // No part of the response arrived and there is nothing to resume: start over.
                resume = false;
            } else if (a.end() == End.CUT) {
                resume = true;
            }
            Tasks.sleep(RETRY_INTERVAL);
        }
        Duration duration = Duration.ofNanos(System.nanoTime() - start);
        String expected = GeneratedText.response(messages.encode(), words);
        return new ChatResult(id, outcome(reader, expected), attempts, duration);
    }

    private static Outcome outcome(ResponseReader reader, String expected) {
        if (reader.outOfSequence() || !expected.startsWith(reader.text())) {
            return Outcome.WRONG;
        }
        if (!reader.done()) {
            return Outcome.LOST;
        }
        return reader.text().equals(expected) ? Outcome.COMPLETE : Outcome.WRONG;
    }

    private static RequestOptions options(
            Fleet fleet, String daemon, String workspace, String chat, String id) {
        Endpoint to = new Endpoint("127.0.0.1", fleet.port(daemon));
        return ChatRequests.to(to, "key-of-" + workspace, new ChatId(chat), new RequestId(id));
    }

    private Attempt attempt(
            RequestOptions options, String daemon, JsonObject body, ResponseReader reader) {
        HttpClientRequest request;
        try {
            request = Await.result(client.request(options), ATTEMPT_TIMEOUT);
        } catch (RuntimeException e) {
            return new Attempt(daemon, End.NOT_CONNECTED, e.toString(), "", reader.lastOffset());
        }
        try {
            return Await.result(
                    request.send(body.toBuffer()).compose(r -> read(daemon, r, reader)),
                    ATTEMPT_TIMEOUT);
        } catch (RuntimeException e) {
            return new Attempt(daemon, End.CUT, e.toString(), "", reader.lastOffset());
        }
    }

    private static Future<Attempt> read(
            String daemon, HttpClientResponse r, ResponseReader reader) {
        if (r.statusCode() != OK) {
            String state = String.valueOf(r.getHeader("X-Run-State"));
            return r.body()
                    .map(
                            b ->
                                    new Attempt(
                                            daemon,
                                            End.REJECTED,
                                            r.statusCode() + " " + b,
                                            state,
                                            reader.lastOffset()));
        }
        return reader.read(r)
                .map(
                        v ->
                                new Attempt(
                                        daemon,
                                        reader.done() ? End.DONE : End.CUT,
                                        reader.error(),
                                        "",
                                        reader.lastOffset()));
    }
}
