package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.TargetPresence;
import org.godwithoist.targets.Target;

/**
 * Asks the process at a target's address who it is. An accepted connection alone is no answer: the
 * system accepts connections for a process that is about to end, and another process may have the
 * address. Thread-safe.
 */
final class PresenceCheck {
    /** Longest wait for the answer. A target without a free slot may give it later. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(150);

    /** Longest wait for a response that shows only that the target is in reach. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);

    /**
     * Delay of the second question after a connection that ended without an answer, as it does if
     * the target ends or has too many connections. A process that ends is gone by then.
     */
    private static final Duration REPEAT_DELAY = Duration.ofMillis(50);

    private static final int MAX_BODY_BYTES = 16_384;
    private static final String METHOD = "GET";

    private final Dialect dialect;
    private final Function<ServiceId, Optional<ServiceSpec>> services;
    private final Duration connectTimeout;
    private final Ticker ticker;

    /**
     * Creates a check.
     *
     * @param services returns the configured service with an id; empty if there is none
     */
    PresenceCheck(
            Dialect dialect,
            Function<ServiceId, Optional<ServiceSpec>> services,
            Duration connectTimeout,
            Ticker ticker) {
        this.dialect = dialect;
        this.services = services;
        this.connectTimeout = connectTimeout;
        this.ticker = ticker;
    }

    /**
     * Asks who is at the target's address. A target that has asked this daemon for a pause, or
     * limits its requests, gets no question, only a connection.
     *
     * @param delay time between the connection, which fails at once if no process is there, and the
     *     question
     */
    TargetPresence check(Target target, Duration delay) {
        return ask(target, delay).orElseGet(() -> askAgain(target));
    }

    /**
     * Returns whether the target sends any response on a new connection. One that accepts no
     * questions responds if it accepts the connection.
     */
    boolean responds(Target target) {
        try (TargetConnection connection =
                TargetConnection.open(target.entry().endpoint(), connectTimeout, ticker)) {
            Optional<ServiceSpec> service = services.apply(target.entry().service());
            if (service.isEmpty() || !target.acceptsQuestions()) {
                return true;
            }
            sendQuestion(connection, target, service.get(), RESPONSE_TIMEOUT);
            connection.reader().readResponse();
            return true;
        } catch (IOException | HttpException e) {
            return false;
        }
    }

    private TargetPresence askAgain(Target target) {
        Tasks.sleep(REPEAT_DELAY);
        return ask(target, Duration.ZERO).orElse(TargetPresence.UNIDENTIFIED);
    }

    /** Returns empty if the connection ended without an answer. */
    private Optional<TargetPresence> ask(Target target, Duration delay) {
        TargetConnection connection;
        try {
            connection = TargetConnection.open(target.entry().endpoint(), connectTimeout, ticker);
        } catch (IOException e) {
            // The result is all that the caller asks for; attempts log why a connection failed.
            return Optional.of(TargetPresence.ENDED);
        }
        try (connection) {
            Tasks.sleep(delay);
            Optional<ServiceSpec> service = services.apply(target.entry().service());
            boolean mayAsk = service.isPresent() && target.acceptsQuestions();
            return mayAsk
                    ? Optional.of(ask(connection, target, service.get()))
                    : Optional.of(TargetPresence.UNIDENTIFIED);
        } catch (SocketTimeoutException | HttpException e) {
            // Without an answer that can be read, the process remains unidentified.
            return Optional.of(TargetPresence.UNIDENTIFIED);
        } catch (IOException e) {
            // The second question shows whether the process has ended.
            return Optional.empty();
        }
    }

    private TargetPresence ask(TargetConnection connection, Target target, ServiceSpec service)
            throws IOException, HttpException {
        sendQuestion(connection, target, service, ANSWER_TIMEOUT);
        ClassicHttpResponse response = connection.reader().readResponse();
        Framing framing = Framing.ofResponse(response.getCode(), METHOD, response.getHeaders());
        byte[] body = readBody(connection.reader().body(framing));
        return dialect.readPresence(target, response.getCode(), response.getHeaders(), body);
    }

    private void sendQuestion(
            TargetConnection connection, Target target, ServiceSpec service, Duration timeout)
            throws IOException {
        connection.socket().setReadDeadline(ticker.nanos() + timeout.toNanos());
        Endpoint address = target.entry().endpoint();
        MessageWriter writer = connection.writer();
        writer.startLine(METHOD + " " + dialect.presencePath(service) + " HTTP/1.1");
        writer.field("Host", address.toString());
        writer.fields(dialect.presenceFields(target));
        writer.endHead();
        writer.flush();
    }

    /** Returns the bytes that arrive; the head alone may identify the process. */
    private static byte[] readBody(InputStream body) {
        try (body) {
            return body.readNBytes(MAX_BODY_BYTES);
        } catch (IOException e) {
            return new byte[0];
        }
    }
}
