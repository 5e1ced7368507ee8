package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.godwithoist.catalog.RequestLimits;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Call;
import org.godwithoist.dispatch.CallHead;
import org.godwithoist.dispatch.Dispatcher;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.RefusedException;
import org.godwithoist.dispatch.Serving;

/** A caller's connection: reads and handles one request after another. */
public final class FrontConnection {
    /**
     * Time added to the idle limit, so that a request sent right at the limit does not meet a
     * closed connection.
     */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(2);

    /** Timeout for the body of a request. */
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

    private static final long CLOSE_WAIT_MS = 500;
    private static final Duration NO_RETRY = Duration.ZERO;

    /** Collaborators and settings that all connections share. */
    public record Parts(
            Dispatcher dispatcher,
            Dialect dialect,
            Supplier<RequestLimits> limits,
            Serving serving,
            IdleConnections idle,
            BodyMemory memory,
            Ticker ticker) {}

    private final Parts parts;
    private final ReadAheadSocket socket;
    private final MessageReader reader;
    private final MessageWriter writer;

    private FrontConnection(Parts parts, ReadAheadSocket socket) {
        this.parts = parts;
        this.socket = socket;
        int maxLine = parts.limits().get().maxHeaderBytes();
        reader = new MessageReader(socket.input(), maxLine);
        writer = new MessageWriter(socket.output());
    }

    /** Serves a connection until it ends. */
    public static void serve(Socket raw, Parts parts) {
        try (ReadAheadSocket socket = new ReadAheadSocket(raw, "caller", parts.ticker())) {
            new FrontConnection(parts, socket).serveAll();
        } catch (IOException e) {
            // The caller disconnected; the dispatcher has logged the requests in progress.
            return;
        }
    }

    private void serveAll() throws IOException {
        boolean open = true;
        while (open && awaitCall()) {
            open = serveNext();
        }
    }

    private boolean awaitCall() {
        if (reader.hasUnreadBytes()) {
            return true;
        }
        Duration limit = parts.limits().get().idleTimeout().plus(IDLE_MARGIN);
        parts.idle().add(socket);
        boolean came = socket.awaitInput(parts.ticker().nanos() + limit.toNanos());
        return parts.idle().claim(socket) && came;
    }

    private boolean serveNext() throws IOException {
        RequestLimits limits = parts.limits().get();
        readWithin(limits.headerTimeout());
        HttpCallerAnswer answer = new HttpCallerAnswer(socket, writer, parts.serving());
        try {
            ClassicHttpRequest request = reader.readRequest();
            if (request == null) {
                return false;
            }
            return serveRequest(request, limits, answer);
        } catch (MessageConstraintException e) {
            return refuseAndClose(answer, Refusal.HEADERS_TOO_LARGE);
        } catch (HttpException e) {
            return refuseAndClose(answer, Refusal.BAD_REQUEST);
        } catch (RefusedException e) {
            return refuseAndClose(answer, e.refusal());
        }
    }

    private boolean serveRequest(
            ClassicHttpRequest request, RequestLimits limits, HttpCallerAnswer answer)
            throws IOException, HttpException, RefusedException {
        Header[] headers = request.getHeaders();
        answer.keepOpen(!Fields.connectionOptions(headers).contains("close"));
        Framing framing = Framing.ofRequest(headers);
        CallHead head =
                parts.dialect().readCall(request.getMethod(), request.getRequestUri(), headers);
        if (framing.length() > limits.maxBodyBytes()) {
            throw new RefusedException(Refusal.BODY_TOO_LARGE, "body of " + framing.length());
        }
        try (BodyMemory.Lease lease = parts.memory().take(expected(framing))) {
            byte[] body = readBody(framing, limits, headers, lease);
            boolean hasBody = framing.kind() != Framing.Kind.NONE;
            Call call = new Call(head, body, hasBody, parts.ticker().nanos());
            parts.dispatcher().serve(call, answer);
        }
        return answer.staysOpen();
    }

    private static int expected(Framing framing) {
        return (int) framing.length();
    }

    private byte[] readBody(
            Framing framing, RequestLimits limits, Header[] headers, BodyMemory.Lease lease)
            throws IOException, RefusedException {
        if (framing.kind() == Framing.Kind.NONE) {
            return new byte[0];
        }
        if ("100-continue".equalsIgnoreCase(Fields.value(headers, "Expect"))) {
            writer.startLine("HTTP/1.1 100 Continue");
            writer.endHead();
            writer.flush();
        }
        readWithin(BODY_TIMEOUT);
        InputStream body = reader.body(framing);
        if (framing.kind() == Framing.Kind.LENGTH) {
            byte[] bytes = body.readNBytes((int) framing.length());
            if (bytes.length < framing.length()) {
                throw new IOException("the caller left in the middle of a body");
            }
            return bytes;
        }
        byte[] bytes = body.readNBytes(limits.maxBodyBytes() + 1);
        if (bytes.length > limits.maxBodyBytes()) {
            throw new RefusedException(Refusal.BODY_TOO_LARGE, "body in chunks");
        }
        lease.grow(bytes.length);
        return bytes;
    }

    private void readWithin(Duration time) {
        socket.readUntil(parts.ticker().nanos() + time.toNanos());
    }

    /**
     * Rejects a malformed request and closes the connection, because the end of the request is
     * unknown.
     */
    private boolean refuseAndClose(HttpCallerAnswer answer, Refusal refusal) throws IOException {
        answer.keepOpen(false);
        answer.refuse(refusal, NO_RETRY);
        socket.closeAfterPeer(CLOSE_WAIT_MS);
        return false;
    }
}
