package org.godwithoist.chat.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.godwithoist.accounting.Usage;
import org.godwithoist.chat.EngineEvent;
import org.godwithoist.chat.EngineException;
import org.godwithoist.chat.EngineStream;
import org.godwithoist.chat.Fleet;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against chats that receive parts of a response which is not their own from an engine that
 * responds twice. Each response has another text of another length.
 */
final class RepeatedEngineResponsesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int REQUESTS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final HttpEngineClient client = new HttpEngineClient(vertx);
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();

    /** Texts and token counts by the attempt for which they were written. */
    private final Map<String, String> texts = new ConcurrentHashMap<>();

    private Script script = e -> "";
    private final Target engine;

    /** Returns the bytes that the engine writes for one request. */
    private interface Script {
        String respond(Exchange exchange);
    }

    /**
     * One request.
     *
     * @param attempt id of the attempt, from the path or from X-Request-Id
     * @param header value of X-Request-Id; empty if the request has none
     * @param first whether it is the first request of its connection
     */
    private record Exchange(String attempt, String header, boolean first) {}

    /** Whether an engine names the request in the head of its response. */
    enum Naming {
        NAMED {
            @Override
            String field(String id) {
                return "X-Request-Id: " + id + "\r\n";
            }
        },
        UNNAMED {
            @Override
            String field(String id) {
                return "";
            }
        };

        abstract String field(String id);
    }

    RepeatedEngineResponsesTest() {
        NetServer server =
                Await.result(
                        vertx.createNetServer()
                                .connectHandler(s -> new Connection(s))
                                .listen(0, "127.0.0.1"),
                        TIMEOUT);
        String address = "127.0.0.1:" + server.actualPort();
        engine = Fleet.target(new TargetId("engine"), address, ServiceState.IN_SERVICE);
    }

    /** Reads the requests of one connection; one without a response to come closes it. */
    private final class Connection {
        private static final Pattern PATH = Pattern.compile("/v1/requests/([^/ ]+)");
        private static final Pattern HEADER = Pattern.compile("(?i)x-request-id: (\\S+)");
        private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

        private final NetSocket socket;
        private Buffer received = Buffer.buffer();
        private boolean first = true;

        Connection(NetSocket socket) {
            this.socket = socket;
            connections.incrementAndGet();
            socket.handler(this::receive);
        }

        private void receive(Buffer bytes) {
            received.appendBuffer(bytes);
            String text = received.toString();
            int headEnd = text.indexOf("\r\n\r\n") + 4;
            if (headEnd < 4) {
                return;
            }
            int length = Integer.parseInt(find(LENGTH, text).orElse("0"));
            if (received.length() < headEnd + length) {
                return;
            }
            received = Buffer.buffer();
            String header = find(HEADER, text).orElse("");
            String attempt = find(PATH, text).orElse(header);
            String response = script.respond(new Exchange(attempt, header, first));
            first = false;
            socket.write(response);
            if (!response.contains("Content-Length")) {
                socket.end();
            }
        }

        private static Optional<String> find(Pattern pattern, String text) {
            Matcher m = pattern.matcher(text);
            return m.find() ? Optional.of(m.group(1)) : Optional.empty();
        }
    }

    @AfterEach
    void close() {
        Await.result(vertx.close(), TIMEOUT);
    }

    private static String response(String fields, String body) {
        return "HTTP/1.1 200 OK\r\nServer: engine\r\n"
                + fields
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String event(int offset, String text) {
        return "id: "
                + offset
                + "\ndata: {\"choices\":[{\"delta\":{\"content\":\""
                + text
                + "\"}}]}\n\n";
    }

    /** Returns the events of a new response to an attempt. */
    private String newEvents(String attempt) {
        int run = runs.incrementAndGet();
        StringBuilder events = new StringBuilder();
        StringBuilder text = new StringBuilder();
        for (int offset = 1; offset <= 2 + run; offset++) {
            String word = "run" + run + "." + offset + " ";
            events.append(event(offset, word));
            text.append(word);
        }
        texts.put(attempt, text.toString());
        return events + "data: [DONE]\n\n";
    }

    private EngineStream open(RequestId attempt) {
        var request = Fleet.request("antwerp", TIMEOUT, Optional.empty());
        return Await.result(client.open(engine, attempt, request, ""), TIMEOUT);
    }

    private String receive(RequestId attempt) {
        StringBuilder text = new StringBuilder();
        try (EngineStream stream = open(attempt)) {
            while (true) {
                switch (Await.result(stream.next(), TIMEOUT)) {
                    case EngineEvent.Chunk chunk -> text.append(chunk.text());
                    case EngineEvent.KeepAlive _ -> {}
                    case EngineEvent.End _ -> {
                        return text.toString();
                    }
                }
            }
        }
    }

    private static RequestId attempt(int number) {
        return new RequestId("attempt-" + number);
    }

    private void assertConnectionLost(Runnable call) {
        var e = assertThrows(EngineException.class, call::run);
        assertEquals(EngineException.Kind.CONNECTION_LOST, e.kind());
    }

    /** A copy of the response before arrives when the next request waits for its own. */
    @Nested
    final class CopyBeforeTheNextResponse {
        private String last = "";

        private String repeatLate(Exchange e, String own) {
            String all = e.first() ? own : last + own;
            last = own;
            return all;
        }

        /** Guards against a chat that receives the response of another one. */
        @ParameterizedTest
        @EnumSource
        void streamIsNotForwardedToTheNextChat(Naming naming) {
            script = e -> repeatLate(e, response(naming.field(e.header()), newEvents(e.attempt())));
            int lost = 0;
            for (int i = 0; i < REQUESTS; i++) {
                try {
                    String text = receive(attempt(i));
                    assertEquals(texts.get(attempt(i).value()), text);
                } catch (EngineException e) {
                    assertEquals(EngineException.Kind.CONNECTION_LOST, e.kind());
                    lost++;
                }
            }
            assertTrue(lost <= (naming == Naming.NAMED ? REQUESTS / 2 : 0), lost + " lost");
        }

        /** Guards against accounts with the usage of another attempt. */
        @ParameterizedTest
        @EnumSource
        void usageIsNotThatOfAnotherAttempt(Naming naming) {
            script =
                    e -> {
                        int run = runs.incrementAndGet();
                        texts.put(e.attempt(), "1".repeat(run));
                        String usage = "{\"usage\":{\"completion_tokens\":" + run + "}}";
                        return repeatLate(e, response(naming.field(e.header()), usage));
                    };
            int lost = 0;
            for (int i = 0; i < REQUESTS; i++) {
                try {
                    var usage = Await.result(client.cancel(engine, attempt(i)), TIMEOUT);
                    int own = texts.get(attempt(i).value()).length();
                    assertEquals(Optional.of(new Usage(1, 0, 0, own)), usage);
                } catch (EngineException e) {
                    lost++;
                }
            }
            assertTrue(lost <= (naming == Naming.NAMED ? REQUESTS / 2 : 0), lost + " lost");
        }

        /** Guards against a new connection for each call at engines that name the request. */
        @Test
        void connectionIsUsedAgainIfResponsesNameTheirRequest() {
            script = e -> response(Naming.NAMED.field(e.header()), "{}");
            for (int i = 0; i < REQUESTS; i++) {
                assertTrue(Await.result(client.hasAttempt(engine, attempt(i)), TIMEOUT));
            }
            assertTrue(connections.get() < REQUESTS / 2, connections + " connections");
        }
    }

    /** The response breaks off, and another response follows on the same connection. */
    @Nested
    final class CopyInsideTheStream {
        private static final String NO_LENGTH = "HTTP/1.1 200 OK\r\nServer: engine\r\n\r\n";

        /** Guards against events of another response behind those of a stream that broke off. */
        @ParameterizedTest
        @EnumSource
        void eventsBehindAnotherHeadAreNotForwarded(Cut cut) {
            script =
                    e -> {
                        String first = cut.apply(event(1, "own"));
                        return NO_LENGTH
                                + first
                                + NO_LENGTH
                                + event(1, "other")
                                + event(2, "x")
                                + "data: [DONE]\n\n";
                    };
            assertConnectionLost(() -> receive(attempt(1)));
        }

        /** Guards against a rest of the announced length that another response fills. */
        @ParameterizedTest
        @EnumSource
        void anotherResponseDoesNotFillTheRestOfALength(Cut cut) {
            script =
                    e -> {
                        String first = cut.apply(event(1, "own"));
                        String rest =
                                "HTTP/1.1 200 OK\r\n\r\n" + event(2, "x") + "data: [DONE]\n\n";
                        return response("", first + rest);
                    };
            assertConnectionLost(() -> receive(attempt(1)));
        }

        /** Guards against sound chats that quote HTTP and are taken for repeated ones. */
        @Test
        void quotedHeadIsForwarded() {
            String quote = "HTTP/1.1 200 OK\\r\\nServer: other\\r\\n\\r\\n";
            script = e -> NO_LENGTH + event(1, quote) + "data: [DONE]\n\n";
            assertEquals("HTTP/1.1 200 OK\r\nServer: other\r\n\r\n", receive(attempt(1)));
        }
    }

    /** Place at which a stream of one event breaks off. */
    enum Cut {
        BETWEEN_EVENTS {
            @Override
            String apply(String event) {
                return event;
            }
        },
        BEFORE_THE_BLANK_LINE {
            @Override
            String apply(String event) {
                return event.substring(0, event.length() - 1);
            }
        },
        INSIDE_THE_DATA {
            @Override
            String apply(String event) {
                return event.substring(0, event.length() - 9);
            }
        },
        INSIDE_THE_ID {
            @Override
            String apply(String event) {
                return event.substring(0, 3);
            }
        },
        INSIDE_A_KEEPALIVE {
            @Override
            String apply(String event) {
                return event + ": keep";
            }
        };

        abstract String apply(String event);
    }

    /** Only the close of the connection states the end of a response. */
    @Nested
    final class UnstatedEnd {
        private static final String NO_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";

        /** Guards against sound streams that are lost because their end is not stated. */
        @Test
        void streamWithEndMarkerIsWhole() {
            script = e -> NO_LENGTH + newEvents(e.attempt());
            String text = receive(attempt(1));
            assertEquals(texts.get(attempt(1).value()), text);
        }

        /** Guards against half of a stream that is told as whole. */
        @Test
        void streamWithoutEndMarkerIsLost() {
            script = e -> NO_LENGTH + event(1, "own");
            assertConnectionLost(() -> receive(attempt(1)));
        }

        /** Guards against an attempt that counts as not run because the response broke off. */
        @Test
        void emptyResponseDoesNotSayThatTheAttemptIsUnknown() {
            script = e -> NO_LENGTH;
            assertThrows(
                    EngineException.class,
                    () -> Await.result(client.cancel(engine, attempt(1)), TIMEOUT));
        }
    }

    /** Responses are whole in one segment, so that they arrive as soon as the request is sent. */
    @Nested
    final class ResponsesThatArriveAtOnce {
        private static final int CALLERS = 32;
        private static final int CALLS_OF_EACH = 200;

        /** Runs calls of several callers at the same time and returns the failures. */
        private List<Throwable> failures(Consumer<RequestId> call) throws InterruptedException {
            List<Throwable> failures = Collections.synchronizedList(new ArrayList<>());
            CountDownLatch done = new CountDownLatch(CALLERS);
            for (int c = 0; c < CALLERS; c++) {
                int first = c * CALLS_OF_EACH;
                Tasks.start(
                        "caller",
                        () -> {
                            for (int i = 0; i < CALLS_OF_EACH; i++) {
                                try {
                                    call.accept(attempt(first + i));
                                } catch (RuntimeException | AssertionError e) {
                                    failures.add(e);
                                }
                            }
                            done.countDown();
                        });
            }
            done.await();
            return failures;
        }

        private void assertOwnText(RequestId attempt) {
            String text = receive(attempt);
            assertEquals(texts.get(attempt.value()), text);
        }

        /** Guards against a stream whose response ends before its events are read. */
        @Test
        void streamsAreForwarded() throws InterruptedException {
            script =
                    e -> {
                        texts.put(e.attempt(), e.attempt());
                        return response("", event(1, e.attempt()) + "data: [DONE]\n\n");
                    };
            assertEquals(List.of(), failures(this::assertOwnText));
        }

        /** Guards against a short call that waits for a body which has already arrived. */
        @Test
        void shortCallsEnd() throws InterruptedException {
            script = e -> response(Naming.NAMED.field(e.header()), "{}");
            assertEquals(
                    List.of(), failures(a -> Await.result(client.hasAttempt(engine, a), TIMEOUT)));
        }
    }
}
