package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.godwithoist.catalog.RequestLimits;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Dispatcher;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.RefusedException;
import org.godwithoist.dispatch.Request;
import org.godwithoist.dispatch.RequestConstraints;
import org.godwithoist.dispatch.RequestHead;
import org.godwithoist.dispatch.ServingStatus;

/** A caller's connection: reads and handles one request after another. */
public final class CallerConnection {
    /**
     * Time added to the idle limit, so that a request that the caller sends just before the limit
     * does not arrive at a closed connection.
     */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(2);

    /** Timeout for the body of a request. */
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

    /** Time in which the caller of a new connection sends its request. */
    private static final Duration REFUSAL_WAIT = Duration.ofSeconds(1);

    private static final RequestConstraints CONSTRAINTS = RequestConstraints.DEFAULT;

    private static final int READ_BUFFER_BYTES = 8192;
    private static final int RESERVATION_STEP_BYTES = 4096;

    private static final int MAX_CHUNK_EXPANSION = 6;
    private static final long CLOSE_WAIT_MS = 500;

    /**
     * Bytes that are held for each byte of a chunked body while it is read: its blocks, and the
     * array to which they are copied at the end.
     */
    private static final int CHUNKED_BODY_FACTOR = 2;

    /** Collaborators and settings that all connections share. */
    public record Dependencies(
            Dispatcher dispatcher,
            Dialect dialect,
            Supplier<RequestLimits> limits,
            ServingStatus status,
            IdleConnections idleConnections,
            StalledConnections stalledConnections,
            MemoryBudget memory,
            Ticker ticker) {}

    private final Dependencies dependencies;
    private final ReadAheadSocket socket;
    private final ConnectionActivity activity;
    private final MessageReader reader;
    private final MessageWriter writer;

    private CallerConnection(Dependencies dependencies, ReadAheadSocket socket) {
        this.dependencies = dependencies;
        this.socket = socket;
        int maxHeaderBytes = dependencies.limits().get().maxHeaderBytes();
        activity = new ConnectionActivity(socket, CONSTRAINTS, dependencies.ticker());
        reader = MessageReader.ofCaller(activity.input(), maxHeaderBytes);
        writer = new MessageWriter(activity.output());
    }

    /** Serves a connection until it ends. */
    public static void serve(Socket raw, Dependencies dependencies) {
        try (ReadAheadSocket socket = new ReadAheadSocket(raw, "caller", dependencies.ticker())) {
            raw.setSendBufferSize(CONSTRAINTS.sendBufferBytes());
            new CallerConnection(dependencies, socket).serveAll();
        } catch (IOException e) {
            // The caller disconnected; the dispatcher has logged the requests in progress.
            return;
        }
    }

    /**
     * Refuses the first request of a connection for which there is no room, and closes it. Closes
     * it without a response if no request begins within {@link #REFUSAL_WAIT}.
     */
    public static void refuse(Socket raw, Dependencies dependencies) {
        try (ReadAheadSocket socket = new ReadAheadSocket(raw, "caller", dependencies.ticker())) {
            new CallerConnection(dependencies, socket).refuseFirst();
        } catch (IOException e) {
            // The caller disconnected.
            return;
        }
    }

    private void refuseFirst() throws IOException {
        socket.awaitInput(dependencies.ticker().nanos() + REFUSAL_WAIT.toNanos());
        dependencies.status().requestStarted();
        try {
            if (socket.hasUnreadInput()) {
                refuseAndClose(newResponse(), Refusal.NO_MEMORY);
            }
        } finally {
            dependencies.status().requestEnded();
        }
    }

    private HttpCallerResponse newResponse() {
        return new HttpCallerResponse(
                socket, writer, dependencies.status(), dependencies.memory(), activity);
    }

    private void serveAll() throws IOException {
        dependencies.stalledConnections().add(activity);
        try {
            boolean open = true;
            while (open) {
                open = reader.hasUnreadBytes() ? serveCounted(true) : awaitAndServe();
            }
        } finally {
            dependencies.stalledConnections().remove(activity);
        }
    }

    private boolean awaitAndServe() throws IOException {
        reader.releaseBuffer();
        Duration limit = dependencies.limits().get().idleTimeout().plus(IDLE_MARGIN);
        dependencies.idleConnections().add(socket);
        boolean arrived = socket.awaitInput(dependencies.ticker().nanos() + limit.toNanos());
        return serveCounted(arrived);
    }

    /**
     * Serves the next request if it has arrived. It is counted before the connection is claimed, so
     * that at any time a stop finds the connection idle or the request in progress.
     */
    private boolean serveCounted(boolean arrived) throws IOException {
        dependencies.status().requestStarted();
        try {
            boolean claimed =
                    reader.hasUnreadBytes() || dependencies.idleConnections().claim(socket);
            return claimed && arrived && serveNext();
        } finally {
            dependencies.status().requestEnded();
        }
    }

    private boolean serveNext() throws IOException {
        RequestLimits limits = dependencies.limits().get();
        setReadTimeout(limits.headerTimeout());
        activity.enter(ConnectionActivity.Phase.RECEIVING);
        HttpCallerResponse response = newResponse();
        try (HeadMemory head = new HeadMemory(dependencies.memory(), CONSTRAINTS, activity)) {
            ClassicHttpRequest httpRequest = reader.readRequest(head);
            if (httpRequest == null) {
                return false;
            }
            return serveRequest(httpRequest, head, limits, response);
        } catch (HeadMemory.NoMemoryException e) {
            return refuseAndClose(response, Refusal.NO_MEMORY);
        } catch (MessageConstraintException | RequestHeaderFieldsTooLargeException e) {
            return refuseAndClose(response, Refusal.HEADERS_TOO_LARGE);
        } catch (HttpException | MalformedChunkCodingException e) {
            return refuseAndClose(response, Refusal.BAD_REQUEST);
        } catch (ChunkedBody.TooMuchFramingException e) {
            return refuseAndClose(response, Refusal.BODY_TOO_LARGE);
        } catch (RefusedException e) {
            return refuseAndClose(response, e.refusal());
        } finally {
            response.release();
            activity.holdBody(0);
            activity.enter(ConnectionActivity.Phase.OTHER);
        }
    }

    private boolean serveRequest(
            ClassicHttpRequest httpRequest,
            HeadMemory memory,
            RequestLimits limits,
            HttpCallerResponse response)
            throws IOException, HttpException, RefusedException {
        Header[] headers = httpRequest.getHeaders();
        boolean isCurrent = !httpRequest.getVersion().lessEquals(HttpVersion.HTTP_1_0);
        response.takesChunks(isCurrent);
        response.keepOpen(isCurrent && !HeaderFields.connectionOptions(headers).contains("close"));
        response.headOnly(httpRequest.getMethod().equals("HEAD"));
        Framing framing = Framing.ofRequest(headers);
        RequestHead head =
                dependencies
                        .dialect()
                        .readRequest(httpRequest.getMethod(), httpRequest.getRequestUri(), headers);
        memory.holdPromptParts(head.sharedParts().size());
        if (framing.length() > limits.maxBodyBytes()) {
            throw new RefusedException(
                    Refusal.BODY_TOO_LARGE,
                    "request body exceeds maxBodyBytes: Content-Length " + framing.length());
        }
        // A request that waits for memory does not wait for its caller.
        activity.enter(ConnectionActivity.Phase.OTHER);
        try (MemoryBudget.Reservation reservation =
                dependencies.memory().reserveBody(declaredLength(framing))) {
            activity.holdBody(reservation.bytes());
            byte[] body = readBody(framing, limits, headers, reservation);
            activity.enter(ConnectionActivity.Phase.OTHER);
            boolean hasBody = framing.kind() != Framing.Kind.NONE;
            Request request = new Request(head, body, hasBody, dependencies.ticker().nanos());
            dependencies.dispatcher().serve(request, response);
        }
        if (response.endsWithConnection()) {
            // Unread input of the caller would make a plain close a reset, which ends no body.
            socket.closeGracefully(CLOSE_WAIT_MS, maxDiscardedBytes());
        }
        return response.staysOpen();
    }

    private static int declaredLength(Framing framing) {
        return (int) framing.length();
    }

    private byte[] readBody(
            Framing framing,
            RequestLimits limits,
            Header[] headers,
            MemoryBudget.Reservation reservation)
            throws IOException, RefusedException {
        if (framing.kind() == Framing.Kind.NONE) {
            return new byte[0];
        }
        if ("100-continue".equalsIgnoreCase(HeaderFields.value(headers, "Expect"))) {
            writer.startLine("HTTP/1.1 100 Continue");
            writer.endHead();
            writer.flush();
        }
        setReadTimeout(BODY_TIMEOUT);
        activity.enter(ConnectionActivity.Phase.RECEIVING);
        InputStream body = reader.body(framing);
        if (framing.kind() == Framing.Kind.LENGTH) {
            byte[] bytes = new byte[declaredLength(framing)];
            if (body.readNBytes(bytes, 0, bytes.length) < bytes.length) {
                throw new IOException("the caller disconnected before the end of the request body");
            }
            return bytes;
        }
        return readChunked(body, limits.maxBodyBytes(), reservation);
    }

    /** Reserves memory for each piece as it is read, because the length is not known before. */
    private byte[] readChunked(InputStream body, int maxBytes, MemoryBudget.Reservation reservation)
            throws IOException, RefusedException {
        BodyBlocks bytes = new BodyBlocks();
        byte[] piece = new byte[READ_BUFFER_BYTES];
        int n = body.read(piece, 0, piece.length);
        while (n >= 0) {
            if (bytes.size() + n > maxBytes) {
                throw new RefusedException(
                        Refusal.BODY_TOO_LARGE, "chunked request body exceeds maxBodyBytes");
            }
            long needed = (long) CHUNKED_BODY_FACTOR * (bytes.size() + n);
            if (needed > reservation.bytes()) {
                // Chunks may be as small as a byte; not each of them takes the lock of the budget.
                activity.enter(ConnectionActivity.Phase.OTHER);
                reservation.grow(Math.max(needed - reservation.bytes(), RESERVATION_STEP_BYTES));
                activity.holdBody(reservation.bytes());
                activity.enter(ConnectionActivity.Phase.RECEIVING);
            }
            bytes.add(piece, n);
            n = body.read(piece, 0, piece.length);
        }
        byte[] copy = bytes.toByteArray();
        reservation.shrinkTo(copy.length);
        activity.holdBody(reservation.bytes());
        return copy;
    }

    /** Chunks of a byte take six bytes on the connection. */
    private int maxDiscardedBytes() {
        long bytes = (long) MAX_CHUNK_EXPANSION * dependencies.limits().get().maxBodyBytes();
        return (int) Math.min(Integer.MAX_VALUE, bytes);
    }

    private void setReadTimeout(Duration timeout) {
        socket.setReadDeadline(dependencies.ticker().nanos() + timeout.toNanos());
    }

    /**
     * Refuses a request and closes the connection, because unread bytes of the request cannot be
     * told apart from the next request.
     */
    private boolean refuseAndClose(HttpCallerResponse response, Refusal refusal)
            throws IOException {
        response.keepOpen(false);
        response.refuse(refusal, refusal.retryDelay());
        socket.closeGracefully(CLOSE_WAIT_MS, maxDiscardedBytes());
        return false;
    }
}
