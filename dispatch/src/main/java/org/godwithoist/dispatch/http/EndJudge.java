package org.godwithoist.dispatch.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Attempt;
import org.godwithoist.dispatch.BodyChecksum;
import org.godwithoist.dispatch.EndEvidence;
import org.godwithoist.dispatch.RepeatedBody;
import org.godwithoist.dispatch.ResponseHead;
import org.godwithoist.dispatch.ToldEnd;

/**
 * Judges whether a response has reached its end, by what its target has stated and by what follows
 * it on the connection. Used by one task.
 */
final class EndJudge {
    /** Maximum size of a copy that may take the place of the response, in bytes. */
    private static final int MAX_COPY_BYTES = ResponseForwarder.MAX_BUFFERED_BYTES;

    /**
     * Longest wait for a copy whose head has arrived. The caller waits for it, and a copy mostly
     * arrives with its head.
     */
    private static final Duration COPY_TIMEOUT = Duration.ofMillis(250);

    private static final int READ_BUFFER_BYTES = 2048;

    private final Attempt attempt;
    private final Dialect.ResponseMetadata metadata;
    private final int status;
    private final TargetConnection connection;
    private final Dialect dialect;
    private final EndConfirmation confirmation;
    private final boolean answeredEarly;
    private final Ticker ticker;

    /**
     * What is known of the end of a response.
     *
     * @param copy body of a copy that takes the place of the response; empty for none
     */
    record Judgement(EndEvidence evidence, Optional<byte[]> copy) {
        private static Judgement of(EndEvidence evidence) {
            return new Judgement(evidence, Optional.empty());
        }
    }

    /**
     * A copy, as far as it has arrived.
     *
     * @param body the whole body if its end was stated and has arrived; empty if not, or if it has
     *     more than {@link #MAX_COPY_BYTES}
     * @param match how it compares with the response
     */
    private record Copy(Optional<byte[]> body, BodyChecksum.Match match) {}

    /**
     * Creates a judge for one response.
     *
     * @param metadata fields of the response
     * @param confirmation asks whether the target is still there
     * @param answeredEarly whether the response began before the request was sent completely
     */
    EndJudge(
            Attempt attempt,
            int status,
            Dialect.ResponseMetadata metadata,
            TargetConnection connection,
            Dialect dialect,
            EndConfirmation confirmation,
            boolean answeredEarly,
            Ticker ticker) {
        this.attempt = attempt;
        this.status = status;
        this.metadata = metadata;
        this.connection = connection;
        this.dialect = dialect;
        this.confirmation = confirmation;
        this.answeredEarly = answeredEarly;
        this.ticker = ticker;
    }

    /**
     * Judges the end of a body that was read completely.
     *
     * @throws IncompleteBodyException if the body is known to be incomplete
     * @throws EndConfirmation.UnconfirmedEndException if its end is not stated, and the target is
     *     not there any more
     */
    Judgement judge(TargetBody body) throws IOException {
        return judge(body, false);
    }

    /**
     * Judges the end of a body whose bytes were kept. Finds copies without an id inside it, too,
     * and, if another target can be asked, a body that was written twice.
     */
    Judgement judge(TargetBody body, byte[] bytes) throws IOException {
        if (SelfCopy.isIn(bytes)) {
            attempt.target().recordCutBody();
            throw new IncompleteBodyException(EndEvidence.RESPONSE_INSIDE);
        }
        boolean comparable =
                body.isPresent() && attempt.mayBeCompared() && ResponseHead.isSuccess(status);
        if (comparable && endsAsStated(body)) {
            if (RepeatedBody.isIn(bytes)) {
                return Judgement.of(EndEvidence.REPEATED_BODY);
            }
            if (attempt.mayAskOtherTarget() && attempt.hasUnusualSize(bytes.length)) {
                return Judgement.of(EndEvidence.UNUSUAL_STATED_SIZE);
            }
        }
        return judge(body, false);
    }

    /** Returns whether the body ends where its target has stated, and not at another response. */
    private static boolean endsAsStated(TargetBody body) {
        return body.end().isStated() && !body.endsAtResponse() && !body.endsInsideHead();
    }

    /** Judges the end of a stream like that of a body; no copy takes its place. */
    EndEvidence judgeStream(TargetBody body) throws IOException {
        return judge(body, true).evidence();
    }

    private Judgement judge(TargetBody body, boolean stream) throws IOException {
        Judgement found = withSize(evidence(body, stream), body, stream);
        if (found.evidence().isCut()) {
            attempt.target().recordCutBody();
            throw new IncompleteBodyException(found.evidence());
        }
        if (found.evidence().isWhole()) {
            return found;
        }
        if (stream) {
            confirmation.confirmStream(body.end());
        } else {
            confirmation.confirm(body.end());
        }
        return found;
    }

    /**
     * Checks that the end of a response may be told to the caller, by the framing of the response
     * to it, without asking another target.
     *
     * @param bytes size of the body
     * @param statesEnd whether the response tells the caller where its body ends
     * @throws IncompleteBodyException if it may not
     */
    void checkMayBeTold(EndEvidence evidence, long bytes, boolean statesEnd)
            throws IncompleteBodyException {
        ToldEnd told = attempt.toldEnd(evidence, ResponseHead.isSuccess(status), bytes);
        if (told == ToldEnd.BROKEN || (told == ToldEnd.UNSTATED && statesEnd)) {
            throw new IncompleteBodyException(evidence);
        }
    }

    /**
     * Returns the evidence, unless its body has a size that refutes it. The sizes of streams tell
     * nothing, and those of failures are not known.
     */
    private Judgement withSize(Judgement found, TargetBody body, boolean stream) {
        boolean isKnownSize = !stream && ResponseHead.isSuccess(status);
        boolean refuted =
                isKnownSize
                        && !found.evidence().isWhole()
                        && attempt.hasUnusualSize(body.checksum().length());
        return refuted ? Judgement.of(EndEvidence.UNUSUAL_SIZE) : found;
    }

    /**
     * Checks that a successful body without a stated end, of which more may come, is not longer
     * than the known ones of its route or service.
     *
     * @throws IncompleteBodyException if it is
     */
    void checkLength(TargetBody body) throws IncompleteBodyException {
        if (!body.end().isStated() && attempt.isTooLong(body.checksum().length())) {
            throw new IncompleteBodyException(EndEvidence.UNUSUAL_SIZE);
        }
    }

    private Judgement evidence(TargetBody body, boolean stream) {
        if (body.endsInsideHead()) {
            return Judgement.of(statedOr(body, EndEvidence.PARTIAL_COPY));
        }
        if (body.endsAtResponse()) {
            attempt.target().recordUnrequestedResponse();
            return evidenceOfNext(body, stream);
        }
        if (body.isPresent() && body.end().isStated() && ResponseHead.isSuccess(status)) {
            attempt.recordStatedEnd(body.checksum().length());
        }
        if (body.end().isStated()) {
            return Judgement.of(EndEvidence.STATED);
        }
        return Judgement.of(isEarlySuccess() ? EndEvidence.EARLY_CLOSE : EndEvidence.ORDERLY_CLOSE);
    }

    /** A failure may well come early: a target may reject a request without reading it. */
    private boolean isEarlySuccess() {
        return answeredEarly && ResponseHead.isSuccess(status);
    }

    /** Returns the evidence, unless it contradicts a stated end. */
    private static EndEvidence statedOr(TargetBody body, EndEvidence evidence) {
        return body.end().isStated() ? EndEvidence.RESPONSE_INSIDE : evidence;
    }

    /** Judges the body by the response that begins where it ends. */
    private Judgement evidenceOfNext(TargetBody body, boolean stream) {
        long until = ticker.nanos() + COPY_TIMEOUT.toNanos();
        connection.socket().setReadDeadline(until);
        connection.socket().setOverallDeadline(until);
        try {
            ClassicHttpResponse head = connection.reader().readResponse();
            Dialect.ResponseMetadata next = dialect.readResponse(head.getHeaders());
            boolean same = isSameResponse(next) && head.getCode() == status;
            if (!same && next.isOfTarget()) {
                return Judgement.of(statedOr(body, evidenceOfOther(next)));
            }
            if (head.getCode() != status) {
                return Judgement.of(statedOr(body, EndEvidence.OTHER_RESPONSE));
            }
            return compare(body, head, same, stream);
        } catch (IOException | HttpException e) {
            return Judgement.of(statedOr(body, EndEvidence.PARTIAL_COPY));
        }
    }

    private boolean isSameResponse(Dialect.ResponseMetadata next) {
        return next.signed()
                && next.signature().equals(metadata.signature())
                && next.id().equals(metadata.id());
    }

    /** Returns what a response that is no copy of this one tells. */
    private EndEvidence evidenceOfOther(Dialect.ResponseMetadata next) {
        boolean ofOtherRequest = next.id().isPresent() && !next.id().equals(metadata.id());
        return ofOtherRequest ? EndEvidence.OTHER_RESPONSE : EndEvidence.FOREIGN_RESPONSE;
    }

    /**
     * Compares the body with a response of the same status that is a copy of it, or that has no
     * fields of a target.
     */
    private Judgement compare(
            TargetBody body, ClassicHttpResponse head, boolean same, boolean stream)
            throws HttpException {
        String method = attempt.request().head().method();
        Framing framing = Framing.ofResponse(head.getCode(), method, head.getHeaders());
        boolean hasLength = framing.kind() == Framing.Kind.LENGTH;
        boolean sameLength = hasLength && framing.length() == body.checksum().length();
        if (same && sameLength && !body.end().isStated()) {
            return Judgement.of(EndEvidence.EQUAL_COPY);
        }
        Copy copy = readCopy(framing, body.checksum().startComparison());
        if (copy.match() == BodyChecksum.Match.EQUAL && !body.end().isStated()) {
            boolean stated = framing.kind().bodyEnd().isStated();
            return Judgement.of(stated ? EndEvidence.EQUAL_COPY : EndEvidence.EQUAL_UNSTATED_COPY);
        }
        if (same && copy.body().isPresent() && !stream) {
            return new Judgement(EndEvidence.WHOLE_COPY, copy.body());
        }
        boolean longer =
                copy.match() == BodyChecksum.Match.LONGER
                        || (same && hasLength && framing.length() > body.checksum().length());
        if (longer) {
            return Judgement.of(EndEvidence.LONGER_COPY);
        }
        return Judgement.of(
                statedOr(body, same ? EndEvidence.PARTIAL_COPY : EndEvidence.OTHER_RESPONSE));
    }

    private Copy readCopy(Framing framing, BodyChecksum.Comparison comparison) {
        ByteArrayOutputStream kept = new ByteArrayOutputStream();
        boolean stated = framing.kind().bodyEnd().isStated();
        boolean complete = false;
        boolean fits = true;
        try {
            TargetBody body = copyBody(framing);
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            int n = body.read(buffer, 0, buffer.length);
            while (n >= 0) {
                comparison.add(buffer, 0, n);
                fits &= kept.size() + n <= MAX_COPY_BYTES;
                if (stated && fits) {
                    kept.write(buffer, 0, n);
                }
                n = body.read(buffer, 0, buffer.length);
            }
            complete = !body.endsInsideHead() && !(stated && body.endsAtResponse());
        } catch (IOException e) {
            // What has arrived of the copy may tell enough.
            complete = false;
        }
        byte[] bytes = kept.toByteArray();
        complete &= !SelfCopy.isIn(bytes);
        Optional<byte[]> whole = stated && complete && fits ? Optional.of(bytes) : Optional.empty();
        return new Copy(whole, comparison.match(complete));
    }

    /** Returns the body of a copy, which another copy may follow or fill up. */
    private TargetBody copyBody(Framing framing) {
        MessageReader reader = connection.reader();
        Predicate<Header[]> isCopy = fields -> isSameResponse(dialect.readResponse(fields));
        return switch (framing.kind()) {
            case NONE, CHUNKED -> new TargetBody(reader, framing);
            case LENGTH ->
                    new TargetBody(
                            reader,
                            framing,
                            reader.bodyUntilResponse(
                                    framing,
                                    isCopy,
                                    size -> connection.awaitBytesAfterBody(size, ticker)));
            case UNTIL_CLOSE -> new TargetBody(reader, framing, reader.bodyUntilResponse(isCopy));
        };
    }

    /** A body has ended before it was complete, although its connection or its length say not. */
    static final class IncompleteBodyException extends IOException {
        private static final long serialVersionUID = 1L;

        private final EndEvidence evidence;

        IncompleteBodyException(EndEvidence evidence) {
            super("the body is incomplete: " + evidence);
            this.evidence = evidence;
        }

        /** Returns what shows that the body is incomplete. */
        EndEvidence evidence() {
            return evidence;
        }
    }
}
