package org.godwithoist.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.accounting.TargetUsage;
import org.godwithoist.accounting.TargetUsageClient;
import org.godwithoist.accounting.Usage;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;

/**
 * Queries engines for the usage of attempts over HTTP. An engine that does not know an attempt may
 * have restarted since, so the attempt is left out of the result and stays unsettled. Plain
 * services store no usage that could be queried.
 */
public final class HttpTargetUsageClient implements TargetUsageClient {
    private static final int OK = 200;
    private static final String RUNNING = "running";

    private final WebClient client;
    private final Duration timeout;
    private final TargetDirectory targets;

    /**
     * Creates a client.
     *
     * @param timeout time limit for the response to the query of one attempt
     */
    public HttpTargetUsageClient(Vertx vertx, Duration timeout, TargetDirectory targets) {
        this.client = WebClient.create(vertx);
        this.timeout = timeout;
        this.targets = targets;
    }

    @Override
    public CompletableFuture<Map<RequestId, TargetUsage>> query(
            TargetId target, List<RequestId> attempts) {
        Optional<Target> engine = targets.find(target);
        if (engine.isEmpty()) {
            return CompletableFuture.completedFuture(Map.of());
        }
        Future<Map<RequestId, TargetUsage>> result = Future.succeededFuture(new HashMap<>());
        for (RequestId attempt : attempts) {
            result =
                    result.compose(
                            usages ->
                                    queryAttempt(engine.get(), attempt)
                                            .map(
                                                    attemptUsage -> {
                                                        attemptUsage.ifPresent(
                                                                u -> usages.put(attempt, u));
                                                        return usages;
                                                    }));
        }
        return result.toCompletionStage().toCompletableFuture();
    }

    private Future<Optional<TargetUsage>> queryAttempt(Target engine, RequestId attempt) {
        String path = "/v1/requests/" + attempt.value();
        return client.get(engine.endpoint().port(), engine.endpoint().ip(), path)
                .timeout(timeout.toMillis())
                .send()
                .map(HttpTargetUsageClient::decodeUsage);
    }

    private static Optional<TargetUsage> decodeUsage(HttpResponse<Buffer> response) {
        if (response.statusCode() != OK) {
            return Optional.empty();
        }
        JsonObject body = response.bodyAsJsonObject();
        if (body.getString("state", RUNNING).equals(RUNNING)) {
            return Optional.of(new TargetUsage(TargetUsage.State.RUNNING, Usage.NONE));
        }
        JsonObject usageField = body.getJsonObject("usage", new JsonObject());
        JsonObject promptDetails =
                usageField.getJsonObject("prompt_tokens_details", new JsonObject());
        Usage usage =
                new Usage(
                        1,
                        usageField.getLong("prompt_tokens", 0L),
                        promptDetails.getLong("cached_tokens", 0L),
                        usageField.getLong("completion_tokens", 0L));
        return Optional.of(new TargetUsage(TargetUsage.State.ENDED, usage));
    }
}
