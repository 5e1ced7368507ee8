package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Attempt;
import org.godwithoist.dispatch.AttemptOutcome;
import org.godwithoist.dispatch.AttemptResult;
import org.godwithoist.dispatch.BufferedResponse;
import org.godwithoist.dispatch.CallerResponse;
import org.godwithoist.dispatch.ConnectionRecord;
import org.godwithoist.dispatch.EndEvidence;
import org.godwithoist.dispatch.EventTooLargeException;
import org.godwithoist.dispatch.Recipient;
import org.godwithoist.dispatch.ResponseBody;
import org.godwithoist.dispatch.ResponseHead;
import org.godwithoist.targets.Target;

/**
 * One request on one connection to a target: sends the request, finds its response and forwards it.
 * Used by one task.
 */
final class TargetExchange {
    /** Maximum size of a failure response, which is buffered completely, in bytes. */
    private static final int MAX_FAILURE_BYTES = ResponseForwarder.MAX_BUFFERED_BYTES;

    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;

    /**
     * Time after the deadline of a request at which the exchange ends even if the target still
     * sends. A response that is complete by then reaches a caller that still waits.
     */
    private static final Duration OVERALL_DEADLINE_MARGIN = Duration.ofMillis(250);

    /**
     * Time subtracted from a target's keep-alive limit, because the target may close an idle
     * connection slightly before it.
     */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(300);

    /**
     * Keep-alive time for a target that announces no limit. The announcement is in whole seconds,
     * so the limit of such a target is below one second.
     */
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofMillis(500);

    private final Attempt attempt;
    private final CallerResponse callerResponse;
    private final ConnectionLease lease;
    private final TargetConnection connection;
    private final Dialect dialect;
    private final Consumer<Target> onLeaving;
    private final Ticker ticker;
    private final EndConfirmation endConfirmation;
    private final RequestSender sender;
    private final ResponseForwarder forwarder;
    private final ResponseFinder responseFinder;
    private final long sentAt;
    private final int earlierRequests;
    private Optional<Duration> timeToFirstByte = Optional.empty();
    private boolean responseComplete;
    private boolean targetCloses;
    private Optional<TargetBody> body = Optional.empty();
    private Optional<EndEvidence> endEvidence = Optional.empty();
    private boolean waiting = true;
    private boolean withdrawn;
    private Duration keepAlive = DEFAULT_KEEP_ALIVE;

    /**
     * Creates an exchange.
     *
     * @param onLeaving receives the target when it states that it is leaving
     * @param endConfirmation confirms ends that the target does not state
     */
    TargetExchange(
            Attempt attempt,
            CallerResponse callerResponse,
            ConnectionLease lease,
            Dialect dialect,
            Consumer<Target> onLeaving,
            EndConfirmation endConfirmation,
            Ticker ticker) {
        this.attempt = attempt;
        this.callerResponse = callerResponse;
        this.lease = lease;
        connection = lease.connection();
        sender = new RequestSender(attempt, lease, dialect);
        this.dialect = dialect;
        this.onLeaving = onLeaving;
        this.ticker = ticker;
        this.endConfirmation = endConfirmation;
        forwarder =
                new ResponseForwarder(
                        callerResponse, attempt.begunStream(), new ResponseReads(), ticker);
        sentAt = ticker.nanos();
        earlierRequests = connection.recordRequest(attempt.request().head().id());
        responseFinder =
                new ResponseFinder(
                        attempt,
                        connection.reader(),
                        dialect,
                        earlierRequests > 0,
                        this::setReadDeadline,
                        ticker);
    }

    /** Returns whether the connection can carry another request. */
    boolean reusable() {
        return (responseComplete || forwarder.isComplete())
                && !targetCloses
                && !body.map(TargetBody::endsAtResponse).orElse(false);
    }

    /** Returns the time for which the connection may be kept idle. */
    Duration keepAlive() {
        return keepAlive;
    }

    /**
     * Takes the request back from the target. Has no effect after the response has begun or the
     * exchange has ended. May be called by any task.
     */
    synchronized void withdraw() {
        if (waiting) {
            withdrawn = true;
            lease.close();
        }
    }

    /**
     * Takes the request back from the target if its response has not begun, or if nothing of it was
     * sent to the caller. May be called by any task.
     */
    synchronized void withdrawUnforwarded() {
        if (waiting || !callerResponse.started()) {
            abort();
        }
    }

    /** Takes the request back from the target at any time. May be called by any task. */
    synchronized void abort() {
        withdrawn = true;
        lease.close();
    }

    private synchronized void endWait() {
        waiting = false;
    }

    private synchronized boolean isWithdrawn() {
        return withdrawn;
    }

    AttemptResult run() {
        try {
            return withEnd(exchange()).withConnection(connectionRecord());
        } finally {
            endWait();
        }
    }

    private ConnectionRecord connectionRecord() {
        return new ConnectionRecord(
                earlierRequests,
                responseFinder.strayResponses(),
                connection.socket().isClosedByThisSide());
    }

    private AttemptResult withEnd(AttemptResult result) {
        return body.map(
                        b ->
                                result.withBody(
                                        new ResponseBody(
                                                b.end(),
                                                b.checksum().length(),
                                                endEvidence,
                                                attempt.knownResponses())))
                .orElse(result);
    }

    private AttemptResult exchange() {
        try {
            sender.send();
            return receive();
        } catch (ResponseForwarder.CallerDisconnectedException e) {
            return result(AttemptOutcome.CALLER_LEFT, e.getMessage());
        } catch (SocketTimeoutException e) {
            return timedOut();
        } catch (EventTooLargeException e) {
            return result(brokenIfStarted(AttemptOutcome.INVALID), e.getMessage());
        } catch (ResponseForwarder.UnknownLengthException e) {
            endEvidence = forwarder.endEvidence();
            return result(AttemptOutcome.UNCONFIRMED, e.getMessage());
        } catch (EndJudge.IncompleteBodyException e) {
            endEvidence = Optional.of(e.evidence());
            return lost(e);
        } catch (HttpException e) {
            return result(
                    brokenIfStarted(AttemptOutcome.INVALID), "invalid response: " + e.getMessage());
        } catch (IOException e) {
            return sender.hasTimedOut() ? timedOut() : lost(e);
        }
    }

    private AttemptResult timedOut() {
        if (attempt.deadline().isExpired()) {
            return result(AttemptOutcome.TIMED_OUT, "deadline");
        }
        return result(
                brokenIfStarted(AttemptOutcome.SILENT), "no data within the response timeout");
    }

    private AttemptResult lost(IOException cause) {
        if (callerResponse.callerDisconnected()) {
            return result(AttemptOutcome.CALLER_LEFT, "the caller disconnected");
        }
        if (isWithdrawn()) {
            return result(AttemptOutcome.WITHDRAWN, "withdrawn");
        }
        return result(brokenIfStarted(AttemptOutcome.LOST), cause.getMessage());
    }

    private AttemptOutcome brokenIfStarted(AttemptOutcome outcomeIfNotStarted) {
        return callerResponse.started() ? AttemptOutcome.BROKEN : outcomeIfNotStarted;
    }

    private AttemptResult result(AttemptOutcome outcome, String detail) {
        AttemptResult result = AttemptResult.of(outcome, forwarder.lastEvent(), detail);
        AttemptResult withStream =
                attempt.route().kind().isEventStream()
                        ? result.withStream(forwarder.begunStream())
                        : result;
        return timeToFirstByte
                .map(t -> withStream.withProgress(t, forwarder.progress()))
                .orElse(withStream);
    }

    // ---- response of the target

    private AttemptResult receive() throws IOException, HttpException {
        ResponseFinder.FoundResponse found = responseFinder.find();
        readConnectionFields(found.head().getHeaders());
        recordState(found.head().getCode(), found.metadata());
        return handleResponse(found.head(), found.metadata());
    }

    /**
     * Records what the target states about itself. A response with status 421 comes from another
     * target, which has the address now, and one through another daemon from a target that this
     * daemon has not chosen.
     */
    private void recordState(int status, Dialect.ResponseMetadata metadata) {
        if (status == MISDIRECTED_REQUEST || attempt.recipient() == Recipient.DAEMON) {
            return;
        }
        Target target = attempt.target();
        metadata.load().ifPresent(target::recordLoad);
        if (metadata.id().isPresent()) {
            target.limits().recordRate(metadata.rate(), sentAt);
            target.limits().recordRejectionLimit(metadata.rejections(), sentAt);
        }
        if (metadata.leaving()) {
            onLeaving.accept(target);
        }
        if (status == SERVICE_UNAVAILABLE) {
            if (metadata.id().isPresent() && metadata.notRun()) {
                target.recordRejection(attempt.pendingResponse());
            }
            metadata.retryAfter().ifPresent(target::pauseFor);
        }
    }

    private AttemptResult handleResponse(
            ClassicHttpResponse response, Dialect.ResponseMetadata metadata)
            throws IOException, HttpException {
        int status = response.getCode();
        if (metadata.id().isEmpty()) {
            // Without an id, even a rejection may belong to an earlier request.
            return result(AttemptOutcome.INVALID, "status " + status + " without a request id");
        }
        if (metadata.notRun() || status == MISDIRECTED_REQUEST) {
            readBuffered(body(response, metadata));
            responseComplete = true;
            return result(rejection(status, metadata), "status " + status);
        }
        if (!metadata.signed()) {
            return result(AttemptOutcome.INVALID, "status " + status + " without a signature");
        }
        TargetBody content = body(response, metadata);
        EndJudge judge =
                new EndJudge(
                        attempt,
                        status,
                        metadata,
                        connection,
                        dialect,
                        endConfirmation,
                        sender.isAnsweredEarly() && !responseFinder.hasSkipped(),
                        ticker);
        ResponseHead head =
                ResponseHead.of(
                        status, HeaderFields.endToEnd(response.getHeaders()), content.end());
        if (!head.isSuccess()) {
            byte[] bytes = readBuffered(content);
            EndJudge.Judgement end = judge.judge(content, bytes);
            endEvidence = Optional.of(end.evidence());
            boolean isWhole = end.evidence().isWhole();
            judge.checkMayBeTold(end.evidence(), bytes.length, isWhole);
            responseComplete = true;
            byte[] whole = end.copy().orElse(bytes);
            return AttemptResult.failure(
                    new BufferedResponse(isWhole ? head.withLength(whole.length) : head, whole));
        }
        Duration elapsed = Duration.ofNanos(ticker.nanos() - sentAt);
        timeToFirstByte = Optional.of(elapsed);
        forwarder.begin();
        endWait();
        if (isWithdrawn()) {
            // The connection was closed on this side, which would look like the end of a body.
            throw new IOException("withdrawn while its response began");
        }
        attempt.target().responseStarted(attempt.pendingResponse());
        attempt.evidence().responded(elapsed);
        attempt.request()
                .head()
                .prefix()
                .ifPresent(p -> attempt.target().recordCachedPrefix(p.key()));
        return forward(head, content, judge);
    }

    private AttemptResult forward(ResponseHead head, TargetBody content, EndJudge judge)
            throws IOException {
        if (attempt.route().kind().isEventStream()) {
            boolean ended = forwarder.forwardEvents(head, content, judge, attempt);
            endEvidence = forwarder.endEvidence();
            AttemptOutcome outcome = ended ? AttemptOutcome.ANSWERED : AttemptOutcome.UNCONFIRMED;
            return result(outcome, detail(head));
        }
        Optional<BufferedResponse> unsent = forwarder.forwardBody(head, content, judge, attempt);
        endEvidence = forwarder.endEvidence();
        String detail = detail(head);
        return unsent.map(r -> result(AttemptOutcome.UNCONFIRMED, detail).withUnsent(r))
                .orElseGet(() -> result(AttemptOutcome.ANSWERED, detail));
    }

    private String detail(ResponseHead head) {
        String evidence = endConfirmation.presence().map(p -> ", target found " + p).orElse("");
        return "status " + head.status() + evidence;
    }

    private static AttemptOutcome rejection(int status, Dialect.ResponseMetadata metadata) {
        if (status == MISDIRECTED_REQUEST) {
            return AttemptOutcome.MOVED;
        }
        boolean asksForPause = status == SERVICE_UNAVAILABLE && metadata.retryAfter().isPresent();
        return asksForPause ? AttemptOutcome.THROTTLED : AttemptOutcome.REJECTED;
    }

    private TargetBody body(ClassicHttpResponse response, Dialect.ResponseMetadata metadata)
            throws HttpException {
        TargetBody content =
                new TargetBodyFactory(attempt, connection, dialect, ticker)
                        .create(response, metadata);
        targetCloses |= !content.end().isStated();
        body = Optional.of(content);
        return content;
    }

    private static byte[] readBuffered(TargetBody body) throws IOException {
        byte[] bytes = body.readNBytes(MAX_FAILURE_BYTES);
        if (bytes.length == MAX_FAILURE_BYTES) {
            throw new IOException("failure response of more than " + MAX_FAILURE_BYTES + " bytes");
        }
        return bytes;
    }

    private void readConnectionFields(Header[] headers) {
        targetCloses = HeaderFields.connectionOptions(headers).contains("close");
        OptionalInt seconds = dialect.keepAliveSeconds(headers);
        if (seconds.isPresent()) {
            Duration announced = Duration.ofSeconds(seconds.getAsInt()).minus(KEEP_ALIVE_MARGIN);
            keepAlive = announced.isNegative() ? Duration.ZERO : announced;
        }
    }

    private void setReadDeadline() {
        setReadDeadline(attempt.responseTimeout().orElse(attempt.deadline().remaining()));
    }

    private void setReadDeadline(Duration timeout) {
        Duration wait = attempt.deadline().cap(timeout);
        connection.socket().setReadDeadline(ticker.nanos() + wait.toNanos());
        connection
                .socket()
                .setOverallDeadline(
                        attempt.deadline().atNanos() + OVERALL_DEADLINE_MARGIN.toNanos());
    }

    private final class ResponseReads implements ReadControl {
        @Override
        public void awaitProgress() {
            setReadDeadline();
        }

        @Override
        public void awaitRest() {
            setReadDeadline(attempt.deadline().remaining());
        }

        @Override
        public void permitLargeReads() {
            connection.socket().permitLargeReads(true);
        }
    }
}
