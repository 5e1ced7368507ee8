package org.godwithoist.dispatch.http;

import java.io.IOException;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.dispatch.Attempt;
import org.godwithoist.dispatch.Request;
import org.godwithoist.dispatch.RequestBody;

/**
 * Sends the request of an attempt. A target that does not read blocks the writer without a limit,
 * so a task closes the connection at the deadline, unless the body is short enough to be buffered.
 */
final class RequestSender {
    /** Size of a request body that any send buffer holds, in bytes. */
    private static final int MAX_UNGUARDED_BODY_BYTES = 2048;

    /**
     * Size of a request body from which the target can respond before the daemon has written it: a
     * shorter one is in the buffers of the connection at once.
     */
    private static final int MIN_HELD_BACK_BODY_BYTES = 64 << 10;

    /** Small, so that a body that the target does not read is not taken for sent. */
    private static final int UPLOAD_SEND_BUFFER_BYTES = 64 << 10;

    private final Attempt attempt;
    private final ConnectionLease lease;
    private final Dialect dialect;
    private boolean sending;
    private boolean answeredEarly;
    private boolean timedOut;

    RequestSender(Attempt attempt, ConnectionLease lease, Dialect dialect) {
        this.attempt = attempt;
        this.lease = lease;
        this.dialect = dialect;
    }

    /**
     * Sends the request.
     *
     * @throws IOException if the connection fails, or {@link #hasTimedOut} at the deadline; a part
     *     of the request may have been sent
     */
    void send() throws IOException {
        if (attempt.request().body().length() <= MAX_UNGUARDED_BODY_BYTES) {
            write();
            return;
        }
        setSending(true);
        Thread guard = Tasks.start("send-deadline", this::endAtDeadline);
        try {
            write();
        } finally {
            setSending(false);
            guard.interrupt();
        }
    }

    /** Returns whether the deadline ended the sending. */
    synchronized boolean hasTimedOut() {
        return timedOut;
    }

    /**
     * Returns whether the target responded, or ended the connection, before it could have the
     * complete request.
     */
    boolean isAnsweredEarly() {
        return answeredEarly;
    }

    private synchronized void setSending(boolean value) {
        sending = value;
    }

    private void endAtDeadline() {
        if (Tasks.sleep(attempt.deadline().remaining())) {
            end();
        }
    }

    private synchronized void end() {
        if (sending) {
            timedOut = true;
            lease.close();
        }
    }

    private void write() throws IOException {
        Request request = attempt.request();
        MessageWriter writer = lease.connection().writer();
        writer.startLine(request.head().method() + " " + request.head().uri() + " HTTP/1.1");
        writer.fields(dialect.targetFields(attempt));
        if (request.hasBody()) {
            writer.field("Content-Length", Integer.toString(request.body().length()));
        }
        writer.endHead();
        writeBody(request.body(), writer);
        writer.flush();
    }

    /**
     * Holds back the last byte of a long body for a moment: what has arrived before it is sent is
     * no response to the complete request.
     */
    private void writeBody(RequestBody body, MessageWriter writer) throws IOException {
        int length = body.length();
        if (length < MIN_HELD_BACK_BODY_BYTES) {
            body.write(0, length, writer::bytes);
            return;
        }
        lease.connection().socket().limitSendBuffer(UPLOAD_SEND_BUFFER_BYTES);
        body.write(0, length - 1, writer::bytes);
        writer.flush();
        answeredEarly = !lease.connection().socket().isIdle();
        body.write(length - 1, length, writer::bytes);
    }
}
