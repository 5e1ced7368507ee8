package org.godwithoist.dispatch.http;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Attempt;

/**
 * Creates the bodies of a target's responses, and decides which header fields inside a body are
 * those of another response. Used by one task.
 */
final class TargetBodyFactory {
    private final Attempt attempt;
    private final TargetConnection connection;
    private final Dialect dialect;
    private final Ticker ticker;

    TargetBodyFactory(
            Attempt attempt, TargetConnection connection, Dialect dialect, Ticker ticker) {
        this.attempt = attempt;
        this.connection = connection;
        this.dialect = dialect;
        this.ticker = ticker;
    }

    /**
     * Creates the body of a response whose head was read last.
     *
     * @param metadata values of its header fields
     * @throws HttpException if the response does not state properly where its body ends
     */
    TargetBody create(ClassicHttpResponse response, Dialect.ResponseMetadata metadata)
            throws HttpException {
        String method = attempt.request().head().method();
        Framing framing = Framing.ofResponse(response.getCode(), method, response.getHeaders());
        MessageReader reader = connection.reader();
        return switch (framing.kind()) {
            case NONE -> new TargetBody(reader, framing);
            case CHUNKED -> createChunked(framing, metadata);
            case LENGTH ->
                    new TargetBody(
                            reader,
                            framing,
                            reader.bodyUntilResponse(
                                    framing,
                                    fields -> beginsResponse(fields, metadata),
                                    size -> connection.awaitBytesAfterBody(size, ticker)));
            case UNTIL_CLOSE ->
                    new TargetBody(reader, framing, reader.bodyUntilResponse(this::isResponseHead));
        };
    }

    /**
     * Returns a body in chunks. A response that begins inside a chunk, or between two, mostly
     * breaks their form, but not if the chunk ends at one of its line ends before a size, and the
     * beginning of it would reach the caller as an event of a stream before.
     */
    private TargetBody createChunked(Framing framing, Dialect.ResponseMetadata metadata) {
        MessageReader reader = connection.reader();
        return new TargetBody(
                reader,
                framing,
                reader.bodyUntilResponse(
                        framing, fields -> beginsResponse(fields, metadata), size -> false));
    }

    /**
     * Returns whether header fields are those of any response. One field of any name does not
     * suffice, because events of a stream consist of lines with fields.
     */
    private boolean isResponseHead(Header[] fields) {
        return dialect.readResponse(fields).isOfTarget() || HeaderFields.describeBody(fields);
    }

    /**
     * Returns whether header fields inside a body whose end is stated are those of a copy of its
     * response, or of the response to an earlier request on the connection. Any other head is a
     * text that the body quotes, but no event of a stream has such lines.
     */
    private boolean beginsResponse(Header[] fields, Dialect.ResponseMetadata own) {
        if (attempt.route().kind().isEventStream()) {
            return isResponseHead(fields);
        }
        Dialect.ResponseMetadata found = dialect.readResponse(fields);
        if (!found.signed() || found.id().isEmpty()) {
            return false;
        }
        boolean isCopy = found.id().equals(own.id()) && found.signature().equals(own.signature());
        boolean isOfEarlierRequest =
                !found.id().equals(own.id()) && connection.hasCarried(found.id().get());
        return isCopy || isOfEarlierRequest;
    }
}
