package org.godwithoist.daemon;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.Function;
import org.godwithoist.bundle.ServiceLevel;
import org.godwithoist.bundle.http.OperatorAuth;
import org.godwithoist.chat.ChatOutcome;
import org.godwithoist.chat.ChatRequest;
import org.godwithoist.core.Priority;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.report.BurnRecorder;
import org.godwithoist.report.BurnReporter;
import org.godwithoist.report.SeriesKey;
import org.godwithoist.report.http.BurnRoutes;
import org.godwithoist.report.wire.TableBurnStore;
import org.godwithoist.store.TableStore;

/** Records the outcome of each chat request in the metrics and the burn report. */
final class ChatOutcomeReporter implements ChatOutcome.Observer {
    private static final double NANOS_PER_SECOND = 1e9;

    private final BurnRecorder burnRecorder;
    private final BurnReporter burnReporter;
    private final Counter requests;
    private final Histogram firstToken;

    ChatOutcomeReporter(ControlPlane controlPlane, TableStore store, PrometheusRegistry registry) {
        var burnStore = new TableBurnStore(store);
        Function<Priority, ServiceLevel> levels =
                p -> controlPlane.bundle().orElseThrow().serviceLevels().get(p);
        burnRecorder =
                new BurnRecorder(burnStore, controlPlane.members(), levels, InstantSource.system());
        burnReporter = new BurnReporter(burnStore, levels, InstantSource.system());
        requests =
                Counter.builder()
                        .name("godwithoist_chat_requests_total")
                        .help("Chat requests that ended, by priority and result")
                        .labelNames("priority", "result")
                        .register(registry);
        firstToken =
                Histogram.builder()
                        .name("godwithoist_chat_first_token_seconds")
                        .help("Time from the request to the first piece of its answer")
                        .labelNames("priority")
                        .classicUpperBounds(0.05, 0.1, 0.2, 0.5, 0.87, 1, 2, 5, 10)
                        .register(registry);
    }

    void start() {
        burnRecorder.start();
    }

    void stop() {
        burnRecorder.close();
    }

    void mount(Router operators, OperatorAuth auth) {
        operators.get("/v1/report/*").handler(auth);
        new BurnRoutes(burnReporter).mount(operators);
    }

    @Override
    public void ended(ChatRequest request, ChatOutcome outcome) {
        String priority = request.priority().wireName();
        String result = outcome.failure().map(ErrorCode::wireName).orElse("answered");
        requests.labelValues(priority, result).inc();
        outcome.firstToken()
                .ifPresent(
                        t ->
                                firstToken
                                        .labelValues(priority)
                                        .observe(t.toNanos() / NANOS_PER_SECOND));
        if (outcome.callerDisconnected()) {
            return;
        }
        SeriesKey key = new SeriesKey(request.workspace(), request.priority());
        if (outcome.failure().isPresent()) {
            burnRecorder.recordFailure(key, failure(outcome.failure().get(), outcome.attempts()));
            return;
        }
        burnRecorder.recordResponse(
                key,
                outcome.firstToken().orElse(outcome.total()),
                outcome.betweenTokens().orElse(Duration.ZERO));
        outcome.betweenTokens().ifPresent(t -> burnRecorder.recordTimeBetweenTokens(key, t));
    }

    private static RequestException failure(ErrorCode code, int attempts) {
        String message = "request ended as " + code.wireName();
        return attempts == 0
                ? RequestException.notRun(code, message)
                : RequestException.unknown(code, message);
    }
}
