package org.godwithoist.standins.edge;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.http.MessageReader;
import org.godwithoist.dispatch.http.MessageWriter;
import org.godwithoist.dispatch.http.ReadAheadSocket;

/** A client with one connection to an edge daemon. Not thread-safe. */
public final class ClientStandin implements Closeable {
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int MAX_LINE_BYTES = 16_384;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);

    /**
     * A complete response.
     *
     * @param fields header fields, with names compared without regard to case
     */
    public record Response(int status, Map<String, String> fields, String body) {
        /** Returns the value of a header field, or an empty string if it is missing. */
        public String field(String name) {
            return fields.getOrDefault(name, "");
        }
    }

    private final ReadAheadSocket socket;
    private final MessageReader reader;
    private final MessageWriter writer;

    /** Connects to an endpoint. */
    public ClientStandin(Endpoint endpoint) throws IOException {
        Socket raw = new Socket();
        raw.connect(new InetSocketAddress(endpoint.ip(), endpoint.port()), CONNECT_TIMEOUT_MS);
        socket = new ReadAheadSocket(raw, "client", Ticker.SYSTEM);
        reader = new MessageReader(socket.input(), MAX_LINE_BYTES);
        writer = new MessageWriter(socket.output());
    }

    /** Sends a request; a Content-Length field is added unless the body is empty. */
    public void send(String method, String uri, Map<String, String> fields, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        writer.startLine(method + " " + uri + " HTTP/1.1");
        for (Map.Entry<String, String> f : fields.entrySet()) {
            writer.field(f.getKey(), f.getValue());
        }
        if (bytes.length > 0) {
            writer.field("Content-Length", Integer.toString(bytes.length));
        }
        writer.endHead();
        writer.bytes(bytes, 0, bytes.length);
        writer.flush();
    }

    /** Sends text as ISO-8859-1 bytes without any framing. */
    public void sendRaw(String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        writer.bytes(bytes, 0, bytes.length);
        writer.flush();
    }

    /**
     * Waits for the next response.
     *
     * @throws IOException if the response is malformed, or not complete when the connection ends or
     *     the timeout expires
     */
    public Response receive() throws IOException {
        socket.setReadDeadline(Ticker.SYSTEM.nanos() + RESPONSE_TIMEOUT.toNanos());
        try {
            ClassicHttpResponse response = reader.readResponse();
            byte[] body = reader.readBody(response, "POST");
            Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (Header h : response.getHeaders()) {
                fields.put(h.getName(), h.getValue());
            }
            return new Response(
                    response.getCode(), fields, new String(body, StandardCharsets.UTF_8));
        } catch (HttpException e) {
            throw new IOException("malformed response: " + e.getMessage(), e);
        }
    }

    /** Waits until the daemon closes the connection and returns all bytes it has sent, as text. */
    public String receiveUntilClose() throws IOException {
        socket.setReadDeadline(Ticker.SYSTEM.nanos() + RESPONSE_TIMEOUT.toNanos());
        return new String(socket.input().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        socket.close();
    }
}
