package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.message.BasicHeader;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link Framing} and {@link MessageReader}. */
final class FramingTest {
    private static Header[] headers(String... namesAndValues) {
        Header[] headers = new Header[namesAndValues.length / 2];
        for (int i = 0; i < headers.length; i++) {
            headers[i] = new BasicHeader(namesAndValues[2 * i], namesAndValues[2 * i + 1]);
        }
        return headers;
    }

    /** Scenario: a peer sends a head without an end, in lines that are short enough. */
    @Nested
    final class LargeHeads {
        private static final int MAX_LINE_BYTES = 1024;

        private static MessageReader reader(String startLine, int fields) {
            String text = startLine + "\r\n" + ("X-A: " + "x".repeat(90) + "\r\n").repeat(fields);
            byte[] bytes = (text + "\r\n").getBytes(StandardCharsets.US_ASCII);
            return new MessageReader(new ByteArrayInputStream(bytes), MAX_LINE_BYTES);
        }

        /** Guards against a head that uses up the memory of the daemon. */
        @Test
        void headBeyondTheLimitIsRejected() {
            assertThrows(
                    RequestHeaderFieldsTooLargeException.class,
                    () -> reader("GET / HTTP/1.1", 100).readRequest());
            assertThrows(
                    MessageConstraintException.class,
                    () -> reader("HTTP/1.1 200 OK", 100).readResponse());
        }

        /** Guards against a head within the limits that is rejected. */
        @Test
        void headOfTheLongestLineIsRead() throws IOException, HttpException {
            assertEquals(10, reader("GET / HTTP/1.1", 10).readRequest().getHeaders().length);
        }
    }

    /** Scenario: a peer ends the connection before its head is complete. */
    @Nested
    final class TruncatedHeads {
        private static final String REQUEST =
                "POST /a HTTP/1.1\r\nHost: b\r\nContent-Length: 12\r\nX-C: d\r\n\r\n";
        private static final String RESPONSE =
                "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-C: d\r\n\r\n";

        private static MessageReader reader(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
            return new MessageReader(new ByteArrayInputStream(bytes), 1024);
        }

        /** Guards against a request that runs with some of its fields, and without its body. */
        @Test
        void requestCutAnywhereIsRejected() throws IOException, HttpException {
            assertNull(reader("").readRequest());
            for (int i = 1; i < REQUEST.length(); i++) {
                MessageReader reader = reader(REQUEST.substring(0, i));
                assertThrows(IOException.class, reader::readRequest, "cut at " + i);
            }
            assertEquals(3, reader(REQUEST).readRequest().getHeaders().length);
        }

        /** Guards against a second request that is cut while the first one was complete. */
        @Test
        void pipelinedRequestCutAnywhereIsRejected() throws IOException, HttpException {
            String first = "GET /a HTTP/1.1\r\nHost: b\r\n\r\n";
            for (int i = 1; i < REQUEST.length(); i++) {
                MessageReader reader = reader(first + REQUEST.substring(0, i));
                reader.readRequest();
                assertThrows(IOException.class, reader::readRequest, "cut at " + i);
            }
        }

        /** Guards against a success without its length that counts as complete and empty. */
        @Test
        void responseCutAnywhereIsRejected() throws IOException, HttpException {
            for (int i = 0; i < RESPONSE.length(); i++) {
                MessageReader reader = reader(RESPONSE.substring(0, i));
                assertThrows(IOException.class, reader::readResponse, "cut at " + i);
            }
            assertEquals(200, reader(RESPONSE).readResponse().getCode());
        }
    }

    @Nested
    final class Requests {
        /** Guards against request smuggling: two readers must not see different ends of a body. */
        @Test
        void ambiguousFramingIsRejected() {
            Header[][] cases = {
                headers("Content-Length", "5", "Transfer-Encoding", "chunked"),
                headers("Content-Length", "5", "Content-Length", "5"),
                headers("Content-Length", "+5"),
                headers("Content-Length", "5, 5"),
                headers("Transfer-Encoding", "identity"),
                headers("Transfer-Encoding", "gzip, chunked"),
            };
            for (Header[] c : cases) {
                assertThrows(ProtocolException.class, () -> Framing.ofRequest(c));
            }
        }

        /** Guards against waiting for the body of a request that has none. */
        @Test
        void requestWithoutFieldsHasNoBody() throws ProtocolException {
            assertEquals(Framing.Kind.NONE, Framing.ofRequest(headers()).kind());
        }
    }

    @Nested
    final class Responses {
        /** Guards against taking a response without a length for empty. */
        @Test
        void responseWithoutFieldsEndsWithTheConnection() throws ProtocolException {
            assertEquals(
                    Framing.Kind.UNTIL_CLOSE, Framing.ofResponse(200, "GET", headers()).kind());
            assertEquals(Framing.Kind.NONE, Framing.ofResponse(204, "GET", headers()).kind());
        }
    }

    @Nested
    final class Heads {
        private ClassicHttpRequest read(String text) throws Exception {
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            return new MessageReader(new ByteArrayInputStream(bytes), 200).readRequest();
        }

        /** Guards against a field value that another reader would parse as two fields. */
        @Test
        void controlCharactersInAFieldBecomeSpaces() throws Exception {
            for (char c : new char[] {'\r', '\0', '\n'}) {
                String text = "GET / HTTP/1.1\r\nA: x" + c + " B: y\r\n\r\n";
                ClassicHttpRequest request = read(text);
                assertEquals(1, request.getHeaders().length);
                String value = request.getHeaders()[0].getValue();
                assertTrue(value.chars().noneMatch(v -> v < ' '), value);
            }
        }

        /** Guards against a field name that another reader would interpret differently. */
        @Test
        void spaceBeforeTheColonIsRejected() {
            assertThrows(HttpException.class, () -> read("GET / HTTP/1.1\r\nA : x\r\n\r\n"));
        }

        /** Guards against unlimited memory use by the head of a request. */
        @Test
        void longLinesAreRejected() {
            assertThrows(
                    HttpException.class,
                    () -> read("GET /" + "x".repeat(300) + " HTTP/1.1\r\n\r\n"));
        }
    }
}
