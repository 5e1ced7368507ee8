package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.AnswerHead;
import org.godwithoist.dispatch.Attempt;
import org.godwithoist.dispatch.AttemptOutcome;
import org.godwithoist.dispatch.AttemptResult;
import org.godwithoist.dispatch.Call;
import org.godwithoist.dispatch.CallerAnswer;
import org.godwithoist.dispatch.EventFramer;
import org.godwithoist.dispatch.HeldAnswer;

/**
 * One request on one connection to a target: sends the request, finds its response and forwards it.
 * Used by one task.
 */
final class TargetExchange {
    /** Maximum size of a response that is fully buffered before it is forwarded, in bytes. */
    private static final int HELD_BYTES = 65_536;

    private static final int PIECE_BYTES = 8192;
    private static final int MISDIRECTED = 421;
    private static final int CONTINUE_CLASS_END = 200;

    /** Maximum number of responses to other requests before the one to this request. */
    private static final int MAX_STRAY_ANSWERS = 3;

    /**
     * Time subtracted from a target's keep-alive limit, because the target may close an idle
     * connection slightly before it.
     */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(300);

    /** Keep-alive time for a target that announces no limit; its limit is then below one second. */
    private static final Duration UNTOLD_KEEP_ALIVE = Duration.ofMillis(500);

    private final Attempt attempt;
    private final CallerAnswer caller;
    private final TargetConnection connection;
    private final Dialect dialect;
    private final Ticker ticker;
    private final EventFramer framer = new EventFramer();
    private final long sentAt;
    private Optional<Duration> firstByte = Optional.empty();
    private boolean wholeAnswerRead;
    private boolean targetCloses;
    private Duration keepTime = UNTOLD_KEEP_ALIVE;

    TargetExchange(
            Attempt attempt,
            CallerAnswer caller,
            TargetConnection connection,
            Dialect dialect,
            Ticker ticker) {
        this.attempt = attempt;
        this.caller = caller;
        this.connection = connection;
        this.dialect = dialect;
        this.ticker = ticker;
        sentAt = ticker.nanos();
    }

    /** Returns whether the connection can carry another request. */
    boolean reusable() {
        return wholeAnswerRead && !targetCloses;
    }

    /** Returns the time for which the connection may be kept idle. */
    Duration keepTime() {
        return keepTime;
    }

    AttemptResult run() {
        try {
            send();
            return receive();
        } catch (CallerGoneException e) {
            return result(AttemptOutcome.CALLER_LEFT, e.getMessage());
        } catch (SocketTimeoutException e) {
            return timedOut();
        } catch (HttpException e) {
            return result(broken(AttemptOutcome.INVALID), "invalid answer: " + e.getMessage());
        } catch (IOException e) {
            return lost(e);
        }
    }

    private AttemptResult timedOut() {
        if (attempt.deadline().passed()) {
            return result(AttemptOutcome.TIMED_OUT, "deadline");
        }
        return result(broken(AttemptOutcome.SILENT), "no byte within the limit");
    }

    private AttemptResult lost(IOException cause) {
        if (caller.left()) {
            return result(AttemptOutcome.CALLER_LEFT, "the caller left");
        }
        return result(broken(AttemptOutcome.LOST), cause.getMessage());
    }

    private AttemptOutcome broken(AttemptOutcome beforeAnswer) {
        return caller.begun() ? AttemptOutcome.BROKEN : beforeAnswer;
    }

    private AttemptResult result(AttemptOutcome outcome, String detail) {
        return AttemptResult.of(outcome, framer.lastId(), detail).withFirstByte(firstByte);
    }

    // ---- to the target

    private void send() throws IOException {
        Call call = attempt.call();
        MessageWriter writer = connection.writer();
        writer.startLine(call.head().method() + " " + call.head().uri() + " HTTP/1.1");
        writer.fields(dialect.targetFields(attempt));
        if (call.hasBody()) {
            writer.field("Content-Length", Integer.toString(call.body().length));
        }
        writer.endHead();
        writer.bytes(call.body(), 0, call.body().length);
        writer.flush();
    }

    // ---- from the target

    private AttemptResult receive() throws IOException, HttpException {
        for (int stray = 0; stray <= MAX_STRAY_ANSWERS; stray++) {
            limitRead();
            ClassicHttpResponse answer = connection.reader().readAnswer();
            if (answer.getCode() < CONTINUE_CLASS_END) {
                continue;
            }
            Header[] headers = answer.getHeaders();
            Dialect.AnswerMarks marks = dialect.readAnswer(headers);
            noteConnection(headers);
            if (isOthers(marks)) {
                drain(body(answer));
                continue;
            }
            marks.load().ifPresent(attempt.target()::recordLoad);
            return pass(answer, marks);
        }
        return result(AttemptOutcome.INVALID, "only answers to other calls");
    }

    private boolean isOthers(Dialect.AnswerMarks marks) {
        return marks.id().isPresent() && !marks.id().get().equals(attempt.call().head().id());
    }

    private AttemptResult pass(ClassicHttpResponse answer, Dialect.AnswerMarks marks)
            throws IOException, HttpException {
        int status = answer.getCode();
        AnswerHead head =
                new AnswerHead(status, Fields.endToEnd(answer.getHeaders()), OptionalLong.empty());
        if (marks.notRun() || status == MISDIRECTED) {
            drain(body(answer));
            return result(
                    status == MISDIRECTED ? AttemptOutcome.MOVED : AttemptOutcome.REJECTED,
                    "status " + status);
        }
        if (!marks.signed() || marks.id().isEmpty()) {
            return result(AttemptOutcome.INVALID, "status " + status + " without a signature");
        }
        if (!head.isSuccess()) {
            byte[] body = readHeld(body(answer));
            wholeAnswerRead = true;
            return AttemptResult.failure(new HeldAnswer(head, body));
        }
        Duration waited = Duration.ofNanos(ticker.nanos() - sentAt);
        firstByte = Optional.of(waited);
        attempt.target().responseStarted(attempt.waiting());
        attempt.call().head().prompt().ifPresent(p -> attempt.target().recordCachedPrefix(p.key()));
        if (attempt.route().kind().answersWithEvents()) {
            return passEvents(head, body(answer));
        }
        return passWhole(head, answer);
    }

    private InputStream body(ClassicHttpResponse answer) throws HttpException {
        Framing framing =
                Framing.ofAnswer(
                        answer.getCode(), attempt.call().head().method(), answer.getHeaders());
        if (framing.kind() == Framing.Kind.UNTIL_CLOSE) {
            targetCloses = true;
        }
        return connection.reader().body(framing);
    }

    private AttemptResult passEvents(AnswerHead head, InputStream body) throws IOException {
        byte[] piece = new byte[PIECE_BYTES];
        limitRead();
        int n = body.read(piece, 0, piece.length);
        while (n >= 0) {
            framer.feed(piece, 0, n, (bytes, from, length) -> toCaller(head, bytes, from, length));
            limitRead();
            n = body.read(piece, 0, piece.length);
        }
        wholeAnswerRead = true;
        byte[] rest = framer.rest();
        toCaller(head, rest, 0, rest.length);
        finishCaller();
        return result(AttemptOutcome.ANSWERED, "status " + head.status());
    }

    /**
     * Buffers a short response completely before it is forwarded: if it breaks off, another target
     * can still be tried. A longer response is forwarded while it is read.
     */
    private AttemptResult passWhole(AnswerHead head, ClassicHttpResponse answer)
            throws IOException, HttpException {
        InputStream body = body(answer);
        byte[] first = body.readNBytes(HELD_BYTES);
        if (first.length < HELD_BYTES) {
            wholeAnswerRead = true;
            toCaller(head.withLength(OptionalLong.of(first.length)), first, 0, first.length);
            finishCaller();
            return result(AttemptOutcome.ANSWERED, "status " + head.status());
        }
        toCaller(head, first, 0, first.length);
        byte[] piece = new byte[PIECE_BYTES];
        int n = body.read(piece, 0, piece.length);
        while (n >= 0) {
            toCaller(head, piece, 0, n);
            n = body.read(piece, 0, piece.length);
        }
        wholeAnswerRead = true;
        finishCaller();
        return result(AttemptOutcome.ANSWERED, "status " + head.status());
    }

    private static byte[] readHeld(InputStream body) throws IOException {
        byte[] bytes = body.readNBytes(HELD_BYTES);
        if (bytes.length == HELD_BYTES) {
            throw new IOException("failure answer of more than " + HELD_BYTES + " bytes");
        }
        return bytes;
    }

    private void drain(InputStream body) throws IOException {
        readHeld(body);
        wholeAnswerRead = true;
    }

    private void noteConnection(Header[] headers) {
        targetCloses = Fields.connectionOptions(headers).contains("close");
        OptionalInt seconds = dialect.keepAliveSeconds(headers);
        if (seconds.isPresent()) {
            Duration told = Duration.ofSeconds(seconds.getAsInt()).minus(KEEP_ALIVE_MARGIN);
            keepTime = told.isNegative() ? Duration.ZERO : told;
        }
    }

    private void limitRead() {
        Duration silence = attempt.silence().orElse(attempt.deadline().left());
        Duration wait = attempt.deadline().cap(silence);
        connection.socket().readUntil(ticker.nanos() + wait.toNanos());
    }

    // ---- to the caller

    private void toCaller(AnswerHead head, byte[] bytes, int from, int length) throws IOException {
        try {
            if (!caller.begun()) {
                caller.begin(head);
            }
            caller.write(bytes, from, length);
        } catch (IOException e) {
            throw new CallerGoneException(e);
        }
    }

    private void finishCaller() throws IOException {
        try {
            caller.finish();
        } catch (IOException e) {
            throw new CallerGoneException(e);
        }
    }

    /** The caller's connection failed; the target is not at fault. */
    private static final class CallerGoneException extends IOException {
        private static final long serialVersionUID = 1L;

        CallerGoneException(IOException cause) {
            super("caller's connection: " + cause.getMessage(), cause);
        }
    }
}
