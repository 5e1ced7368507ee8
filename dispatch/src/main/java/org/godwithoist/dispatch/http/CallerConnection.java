package org.godwithoist.dispatch.http;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.godwithoist.catalog.RequestLimits;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Dispatcher;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.RefusedException;
import org.godwithoist.dispatch.Request;
import org.godwithoist.dispatch.RequestBody;
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

    /** Time for the body of a request, unless its caller waits for longer. */
    private static final Duration MIN_BODY_TIME = Duration.ofSeconds(10);

    /** Time in which the caller of a new connection sends its request. */
    private static final Duration REFUSAL_WAIT = Duration.ofSeconds(1);

    private static final RequestConstraints CONSTRAINTS = RequestConstraints.DEFAULT;

    private static final int MAX_CHUNK_EXPANSION = 6;
    private static final long CLOSE_WAIT_MS = 500;

    /**
     * Collaborators and settings that all connections share.
     *
     * @param roomIsWanted whether new connections wait for the room of others
     * @param callers who sends the requests
     */
    public record Dependencies(
            Dispatcher dispatcher,
            Dialect dialect,
            Supplier<RequestLimits> limits,
            ServingStatus status,
            IdleConnections idleConnections,
            StalledConnections stalledConnections,
            MemoryBudget memory,
            BooleanSupplier roomIsWanted,
            Callers callers,
            Ticker ticker) {}

    /**
     * What the peers of a listener's connections are, which decides on the fields they may send.
     */
    public enum Callers {
        /** Their fields for daemons are ignored. */
        CLIENTS,
        /** Pass on what their own callers have sent. */
        DAEMONS
    }

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
            socket.permitLargeReads(false);
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
                socket,
                writer,
                dependencies.status(),
                dependencies.roomIsWanted(),
                dependencies.memory(),
                activity);
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
        activity.startRequest();
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
        boolean isForwarded = dependencies.callers() == Callers.DAEMONS;
        if (isForwarded) {
            response.refusalFields(r -> dependencies.dialect().refusalFields(head.id(), r));
        }
        if (framing.length() > limits.maxBodyBytes()) {
            throw new RefusedException(
                    Refusal.BODY_TOO_LARGE,
                    "request body exceeds maxBodyBytes: Content-Length " + framing.length());
        }
        try (BodyMemory bodyMemory = bodyMemory(framing)) {
            boolean expectsContinue = isCurrent && expectsContinue(headers);
            RequestBody body = readBody(framing, head, limits, expectsContinue, bodyMemory);
            activity.enter(ConnectionActivity.Phase.OTHER);
            boolean hasBody = framing.kind() != Framing.Kind.NONE;
            Request request = new Request(head, body, hasBody, dependencies.ticker().nanos());
            dependencies
                    .dispatcher()
                    .serve(
                            isForwarded
                                    ? request.forwarded(dependencies.dialect().admittedBy(headers))
                                    : request,
                            response);
        }
        if (response.endsWithConnection() || (!response.staysOpen() && hasUnreadInput())) {
            // Unread input of the caller would make a plain close a reset, which ends no body.
            socket.closeGracefully(CLOSE_WAIT_MS, maxDiscardedBytes());
        }
        return response.staysOpen();
    }

    private boolean hasUnreadInput() {
        return reader.hasUnreadBytes() || socket.hasUnreadInput();
    }

    private BodyMemory bodyMemory(Framing framing) {
        OptionalInt announced =
                framing.kind() == Framing.Kind.LENGTH
                        ? OptionalInt.of((int) framing.length())
                        : OptionalInt.empty();
        return new BodyMemory(dependencies.memory(), CONSTRAINTS, activity, announced);
    }

    private static boolean expectsContinue(Header[] headers) {
        return "100-continue".equalsIgnoreCase(HeaderFields.value(headers, "Expect"));
    }

    private RequestBody readBody(
            Framing framing,
            RequestHead head,
            RequestLimits limits,
            boolean expectsContinue,
            BodyMemory memory)
            throws IOException, RefusedException {
        if (framing.kind() == Framing.Kind.NONE) {
            return RequestBody.EMPTY;
        }
        if (expectsContinue) {
            writer.startLine("HTTP/1.1 100 Continue");
            writer.endHead();
            writer.flush();
        }
        long until = dependencies.ticker().nanos() + bodyTime(head).toNanos();
        socket.setReadDeadline(until);
        socket.setOverallDeadline(until);
        activity.enter(ConnectionActivity.Phase.RECEIVING);
        try {
            return readBody(framing, limits.maxBodyBytes(), memory);
        } catch (SocketTimeoutException e) {
            throw new RefusedException(Refusal.EXPIRED, "the body did not arrive in time");
        }
    }

    private static Duration bodyTime(RequestHead head) {
        Duration time = head.callerTimeout().orElse(MIN_BODY_TIME);
        return Durations.min(Durations.max(time, MIN_BODY_TIME), CONSTRAINTS.maxBodyTime());
    }

    private RequestBody readBody(Framing framing, int maxBytes, BodyMemory memory)
            throws IOException, RefusedException {
        InputStream input = reader.body(framing);
        int first = input.read();
        RequestBody.Builder body = new RequestBody.Builder((int) framing.length());
        boolean ended = first < 0;
        if (!ended) {
            // Nothing is reserved for a body of which nothing has arrived.
            memory.arrived(body.room());
            body.readFrom(new ByteArrayInputStream(new byte[] {(byte) first}));
        }
        while (!ended && !isComplete(body, framing)) {
            memory.arrived(body.size() + body.room());
            ended = body.readFrom(input) < 0;
            if (body.size() > maxBytes) {
                throw new RefusedException(
                        Refusal.BODY_TOO_LARGE, "chunked request body exceeds maxBodyBytes");
            }
        }
        if (framing.kind() == Framing.Kind.LENGTH && !isComplete(body, framing)) {
            throw new IOException("the caller disconnected before the end of the request body");
        }
        memory.completed(body.size());
        return body.build();
    }

    private static boolean isComplete(RequestBody.Builder body, Framing framing) {
        return framing.kind() == Framing.Kind.LENGTH && body.size() == framing.length();
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
