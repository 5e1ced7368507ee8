package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.standins.edge.ConfigText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Scenario: callers send requests with HTTP/1.0. */
final class OldCallersTest {
    private static final int TIMEOUT_MS = 10_000;

    private EdgeFixture fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new EdgeFixture(1, 1);
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    /** Sends a request and returns all that its connection carries until its end. */
    private String receive(String version, String fields) throws IOException {
        Endpoint daemon = fleet.edge.callerAddress();
        String request =
                "POST %sx %s\r\nHost: %s\r\nX-Api-Key: %s\r\n"
                                .formatted(
                                        ConfigText.BOOKING,
                                        version,
                                        ConfigText.HOST,
                                        ConfigText.API_KEY)
                        + "X-Godwithoist-Attempt-Id: old\r\nX-Godwithoist-Deadline-Ms: 4000\r\n"
                        + "Connection: close\r\nContent-Length: 4\r\n"
                        + fields
                        + "\r\ntext";
        try (Socket socket = new Socket(daemon.ip(), daemon.port())) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] received = socket.getInputStream().readAllBytes();
            return new String(received, StandardCharsets.US_ASCII);
        }
    }

    /** Scenario: a request asks for a response before its body is sent. */
    @Nested
    final class Expectation {
        private static final String EXPECT = "Expect: 100-continue\r\n";

        /**
         * Guards against an interim response, which HTTP/1.0 does not have, taken for the answer.
         */
        @Test
        void isIgnored() throws IOException {
            String received = receive("HTTP/1.0", EXPECT);
            assertTrue(received.startsWith("HTTP/1.1 200 "), received);
        }

        /** Guards against a caller that waits for permission to send its body. */
        @Test
        void isAnsweredInLaterVersions() throws IOException {
            String received = receive("HTTP/1.1", EXPECT);
            assertTrue(received.startsWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 "), received);
        }
    }
}
