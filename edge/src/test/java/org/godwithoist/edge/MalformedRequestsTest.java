package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.standins.edge.ConfigText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Scenario: callers send what is no request. */
final class MalformedRequestsTest {
    private static final int TIMEOUT_MS = 10_000;
    private static final String BAD_REQUEST = "HTTP/1.1 400 Status 400";
    private static final String TOO_LARGE = "HTTP/1.1 413 Status 413";

    private EdgeFixture fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new EdgeFixture(1, 1);
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    private static String head(String deadline, String fields) {
        return "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n"
                        .formatted(ConfigText.BOOKING, ConfigText.HOST, ConfigText.API_KEY)
                + "X-Godwithoist-Attempt-Id: malformed\r\nX-Godwithoist-Deadline-Ms: "
                + deadline
                + "\r\n"
                + fields
                + "\r\n";
    }

    /** Sends a request and returns the first line of the response; empty if there is none. */
    private String statusLine(String request) throws IOException {
        Endpoint daemon = fleet.edge.callerAddress();
        try (Socket socket = new Socket(daemon.ip(), daemon.port())) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            byte[] response = socket.getInputStream().readAllBytes();
            String text = new String(response, StandardCharsets.ISO_8859_1);
            return text.lines().findFirst().orElse("");
        }
    }

    @Nested
    final class ChunkedBodies {
        private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

        /** Guards against a caller that gets no response and repeats a request that is wrong. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "x\r\n",
                    "\r\n",
                    "-1\r\n",
                    "+1\r\nx\r\n0\r\n\r\n",
                    "1 1\r\n",
                    "fffffffffffffffffffff\r\n",
                    "1\r\nxy\r\n",
                    "0\r\nno field\r\n\r\n",
                    "0\r\n: no name\r\n\r\n"
                })
        void areRefusedWithAnError(String body) throws IOException {
            assertEquals(BAD_REQUEST, statusLine(head("4000", CHUNKED) + body));
        }

        /** Guards against what surrounds the data of a body and is sent without end. */
        @ParameterizedTest
        @ValueSource(strings = {"1;", "0\r\nT: "})
        void areRefusedIfTheRestIsTooLong(String start) throws IOException {
            String request = head("4000", CHUNKED) + start + "x".repeat(2_000_000);
            assertEquals(TOO_LARGE, statusLine(request));
        }
    }

    @Nested
    final class Deadlines {
        /** Guards against a number that ends the task of its connection with an exception. */
        @ParameterizedTest
        @ValueSource(strings = {"-9223372036854775808", "-1", "12x", "99999999999999999999"})
        void areRefusedOutsideTheirRange(String deadline) throws IOException {
            assertEquals(BAD_REQUEST, statusLine(head(deadline, "Content-Length: 0\r\n")));
        }
    }
}
