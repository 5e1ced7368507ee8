package org.godwithoist.dispatch.http;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.io.ContentLengthInputStream;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.godwithoist.dispatch.RequestConstraints;

/** Reads HTTP/1.1 messages from a connection. Not thread-safe. */
public final class MessageReader {
    private static final int BUFFER_BYTES = 512;
    private static final char DELETE = 0x7f;

    /** Range of the statuses that HTTP defines (RFC 9110, section 15). */
    private static final int MIN_STATUS = 100;

    private static final int MAX_STATUS = 599;

    /** Maximum size of a message head as a multiple of its longest line. */
    private static final int HEAD_LINES_FACTOR = 2;

    /** Receives what is read of a message head. */
    @FunctionalInterface
    interface HeadListener {
        /**
         * Receives the size of a part of a head.
         *
         * @param lines number of line ends in the part
         * @throws IOException if the head shall not be read further
         */
        void received(int bytes, int lines) throws IOException;
    }

    private final MessageInput input;
    private final int maxLineBytes;
    private final int maxHeadBytes;
    private final Http1Config config;

    /** Null while it holds no bytes, because most connections wait for most of the time. */
    private SessionInputBufferImpl buffer;

    /**
     * Creates a reader.
     *
     * @param maxLineBytes maximum length of a line in the message head, in bytes
     */
    public MessageReader(InputStream input, int maxLineBytes) {
        this(input, maxLineBytes, RequestConstraints.DEFAULT.maxHeaderFields());
    }

    /**
     * Creates a reader.
     *
     * @param maxLineBytes maximum length of a line in the message head, in bytes
     * @param maxFields maximum number of header fields
     */
    public MessageReader(InputStream input, int maxLineBytes, int maxFields) {
        this.input = new MessageInput(input);
        this.maxLineBytes = maxLineBytes;
        maxHeadBytes = HEAD_LINES_FACTOR * maxLineBytes + BUFFER_BYTES;
        config =
                Http1Config.custom()
                        .setMaxLineLength(maxLineBytes)
                        .setMaxHeaderCount(maxFields)
                        .setMaxEmptyLineCount(RequestConstraints.DEFAULT.maxEmptyLines() + 1)
                        .build();
    }

    /**
     * Returns a reader of requests whose heads are limited by their bytes alone, however they are
     * cut into lines. Its listener of a head must limit what the fields take.
     *
     * @param maxHeaderBytes maximum size of a head, in bytes
     */
    public static MessageReader ofCaller(InputStream input, int maxHeaderBytes) {
        return new MessageReader(input, maxHeaderBytes, HEAD_LINES_FACTOR * maxHeaderBytes);
    }

    private SessionInputBufferImpl buffer() {
        if (buffer == null) {
            buffer =
                    new SessionInputBufferImpl(
                            new BasicHttpTransportMetrics(),
                            BUFFER_BYTES,
                            BUFFER_BYTES,
                            maxLineBytes,
                            null);
        }
        return buffer;
    }

    /**
     * Releases the buffer, which keeps the size of the longest line, if no bytes are left in it.
     */
    void releaseBuffer() {
        if (!hasBufferedBytes()) {
            buffer = null;
        }
    }

    private boolean hasBufferedBytes() {
        return buffer != null && buffer.hasBufferedData();
    }

    /** Returns whether buffered bytes are left that belong to no message read so far. */
    public boolean hasUnreadBytes() {
        return hasBufferedBytes() || input.hasUnreadBytes();
    }

    /**
     * Reads the head of a request; returns null if the connection has ended.
     *
     * @throws IOException if the connection ended within the head
     */
    public ClassicHttpRequest readRequest() throws IOException, HttpException {
        return readRequest((bytes, lines) -> {});
    }

    /**
     * Reads the head of a request; returns null if the connection has ended.
     *
     * @param listener receives what is read
     * @throws IOException if the connection ended within the head
     */
    ClassicHttpRequest readRequest(HeadListener listener) throws IOException, HttpException {
        input.startHead(maxHeadBytes, hasUnreadBytes());
        input.setHeadListener(listener);
        input.countBegunHead();
        ClassicHttpRequest request = parse(new DefaultHttpRequestParser(config));
        input.endHead();
        if (request != null) {
            checkNoControlCharacters(request.getMethod() + request.getRequestUri());
            checkHeaders(request.getHeaders());
        }
        return request;
    }

    /**
     * Reads a request without a body and returns its path and query; null if the connection has
     * ended.
     */
    public String readRequestPath() throws IOException, HttpException {
        ClassicHttpRequest request = readRequest();
        return request == null ? null : request.getRequestUri();
    }

    /**
     * Reads the head of a response.
     *
     * @throws IOException if the connection ended before a response or within its head
     */
    public ClassicHttpResponse readResponse() throws IOException, HttpException {
        input.startHead(maxHeadBytes, hasUnreadBytes());
        ClassicHttpResponse response = parse(new DefaultHttpResponseParser(config));
        input.endHead();
        if (response == null) {
            throw new IOException("the connection ended before a response");
        }
        checkStatus(response.getCode());
        checkHeaders(response.getHeaders());
        return response;
    }

    private static void checkStatus(int status) throws ProtocolException {
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw new ProtocolException("invalid status " + status);
        }
    }

    private <T extends HttpMessage> T parse(HttpMessageParser<T> parser)
            throws IOException, HttpException {
        try {
            return parser.parse(buffer(), input);
        } catch (IllegalArgumentException e) {
            // The library checks some values, such as a negative version, as it would arguments.
            throw new ProtocolException("malformed message head: " + e.getMessage(), e);
        }
    }

    /** Returns the body of the message whose head was read last. */
    InputStream body(Framing framing) {
        if (framing.kind() == Framing.Kind.CHUNKED) {
            input.startChunks();
        }
        return switch (framing.kind()) {
            case NONE -> InputStream.nullInputStream();
            case LENGTH -> new ContentLengthInputStream(buffer(), input, framing.length());
            case CHUNKED -> new ChunkedBody(buffer(), input, maxLineBytes);
            case UNTIL_CLOSE -> new UntilCloseInputStream();
        };
    }

    /**
     * Returns a body that ends with its connection or where another response begins.
     *
     * @param isResponse whether header fields inside the body are those of a response
     */
    BytesBeforeResponse bodyUntilResponse(Predicate<Header[]> isResponse) {
        return new BytesBeforeResponse(new UntilCloseInputStream(), isResponse, maxHeadBytes);
    }

    /**
     * Returns a body that ends after a number of bytes or where another response begins, even if
     * the head of that crosses the end.
     *
     * @param isResponse whether header fields inside the body are those of a response
     * @param awaitBytes waits for bytes after the end, if it is given the size of what may be the
     *     beginning of a head before it; returns whether there are any
     */
    BytesBeforeResponse bodyUntilResponse(
            Framing framing, Predicate<Header[]> isResponse, IntPredicate awaitBytes) {
        var next = new BytesBeforeResponse.Continuation(new UntilCloseInputStream(), awaitBytes);
        return new BytesBeforeResponse(body(framing), isResponse, maxHeadBytes, Optional.of(next));
    }

    /** Returns what was read beyond the end of a body, to be read next. */
    void unreadAfter(BytesBeforeResponse body) throws IOException {
        ByteArrayOutputStream unread = new ByteArrayOutputStream();
        unread.writeBytes(body.remainingBytes());
        while (hasBufferedBytes()) {
            unread.write(buffer.read(input));
        }
        input.unread(unread.toByteArray());
    }

    /**
     * Discards input up to the head of a response, which {@link #readResponse} reads next.
     *
     * @param isSought whether the header fields are those of the response
     * @param onDiscarded receives the numbers of discarded bytes
     * @throws IOException if the connection ends before the response
     */
    void skipToResponse(Predicate<Header[]> isSought, DiscardListener onDiscarded)
            throws IOException {
        BytesBeforeResponse skipped =
                new BytesBeforeResponse(new UntilCloseInputStream(), isSought, maxHeadBytes);
        byte[] discarded = new byte[BUFFER_BYTES];
        int n = skipped.read(discarded, 0, discarded.length);
        while (n >= 0) {
            onDiscarded.discarded(n);
            n = skipped.read(discarded, 0, discarded.length);
        }
        if (!skipped.foundHead()) {
            throw new ConnectionClosedException("the connection ended before the response");
        }
        unreadAfter(skipped);
    }

    /** Receives numbers of bytes that are discarded. */
    @FunctionalInterface
    interface DiscardListener {
        /**
         * Receives a number of bytes.
         *
         * @throws IOException if no more bytes shall be discarded
         */
        void discarded(int bytes) throws IOException;
    }

    /** Reads the complete body of a request. */
    public byte[] readBody(ClassicHttpRequest request) throws IOException, HttpException {
        return body(Framing.ofRequest(request.getHeaders())).readAllBytes();
    }

    /** Reads the complete body of a response to a request with the given method. */
    public byte[] readBody(ClassicHttpResponse response, String method)
            throws IOException, HttpException {
        Framing framing = Framing.ofResponse(response.getCode(), method, response.getHeaders());
        return body(framing).readAllBytes();
    }

    /**
     * Rejects control characters: a line break or NUL within a field would end the field for
     * another reader.
     */
    private static void checkHeaders(Header[] headers) throws ProtocolException {
        for (Header h : headers) {
            checkNoControlCharacters(h.getName());
            if (h.getName().isEmpty() || h.getName().indexOf(' ') >= 0) {
                throw new ProtocolException("a header field name is empty or contains a space");
            }
            if (h.getValue() != null) {
                checkNoControlCharacters(h.getValue());
            }
        }
    }

    private static void checkNoControlCharacters(String text) throws ProtocolException {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ((c < ' ' && c != '\t') || c == DELETE) {
                throw new ProtocolException("the message head contains a control character");
            }
        }
    }

    /**
     * Limits the bytes that are read for a message head, and fails if the input ends within a head
     * or a chunked body. The parsers limit each line and the number of lines only, so that a head
     * could use up the memory of a daemon, and they take the end of the input for the end of a line
     * and of a list of fields: a message would lose the fields that say where its body ends, and
     * the first digits of a chunk's size, or a part of the last chunk, would end the body.
     */
    private static final class MessageInput extends FilterInputStream {
        private enum Part {
            HEAD,
            CHUNKS,
            OTHER
        }

        private Part part = Part.OTHER;
        private boolean headBegun;
        private int remaining;
        private HeadEnd headEnd = new HeadEnd();

        /** Line ends in the last read behind a head, which may belong to the next one. */
        private int linesAfterHead;

        private HeadListener headListener = (bytes, lines) -> {};
        private ByteArrayInputStream unread = new ByteArrayInputStream(new byte[0]);

        MessageInput(InputStream input) {
            super(input);
        }

        /** Returns bytes to the input, to be read next. */
        void unread(byte[] bytes) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(bytes);
            all.writeBytes(unread.readAllBytes());
            unread = new ByteArrayInputStream(all.toByteArray());
        }

        boolean hasUnreadBytes() {
            return unread.available() > 0;
        }

        /**
         * Starts a head.
         *
         * @param begun whether the first bytes of the head have been read already
         */
        void startHead(int maxBytes, boolean begun) {
            part = Part.HEAD;
            headBegun = begun;
            headEnd = new HeadEnd();
            remaining = maxBytes;
        }

        /** Tells the listener what was read of a head together with the message before it. */
        void countBegunHead() throws IOException {
            if (headBegun) {
                headListener.received(BUFFER_BYTES, linesAfterHead);
            }
        }

        void setHeadListener(HeadListener listener) {
            headListener = listener;
        }

        void endHead() {
            part = Part.OTHER;
        }

        /** Starts a chunked body. Its reader reads no further than its final empty line. */
        void startChunks() {
            part = Part.CHUNKS;
        }

        @Override
        public int read() throws IOException {
            byte[] single = new byte[1];
            return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
        }

        @Override
        public int read(byte[] destination, int from, int length) throws IOException {
            return switch (part) {
                case HEAD -> readHead(destination, from, length);
                case CHUNKS -> readChunks(destination, from, length);
                case OTHER -> readUnlimited(destination, from, length);
            };
        }

        private int readUnlimited(byte[] destination, int from, int length) throws IOException {
            return hasUnreadBytes()
                    ? unread.read(destination, from, length)
                    : super.read(destination, from, length);
        }

        private int readHead(byte[] destination, int from, int length) throws IOException {
            if (remaining == 0) {
                throw new MessageConstraintException("the message head is too large");
            }
            int n = readUnlimited(destination, from, Math.min(length, remaining));
            if (n < 0 && headBegun) {
                throw new ConnectionClosedException("the connection ended within a message head");
            }
            headBegun = true;
            remaining -= Math.max(0, n);
            int end = headEnd.find(destination, from, Math.max(0, n));
            headListener.received(end, lineEnds(destination, from, end));
            linesAfterHead = lineEnds(destination, from + end, Math.max(0, n) - end);
            return n;
        }

        private static int lineEnds(byte[] bytes, int from, int length) {
            int count = 0;
            for (int i = from; i < from + length; i++) {
                if (bytes[i] == '\n') {
                    count++;
                }
            }
            return count;
        }

        private int readChunks(byte[] destination, int from, int length) throws IOException {
            int n = readUnlimited(destination, from, length);
            if (n < 0) {
                throw new ConnectionClosedException("the connection ended within a chunked body");
            }
            // Only a short read may leave bytes in the buffer that belong to the next head.
            linesAfterHead = n <= BUFFER_BYTES ? lineEnds(destination, from, n) : 0;
            return n;
        }
    }

    /** The remaining bytes of the connection, as a body. */
    private final class UntilCloseInputStream extends InputStream {
        @Override
        public int read() throws IOException {
            return buffer().read(input);
        }

        @Override
        public int read(byte[] destination, int from, int length) throws IOException {
            return buffer().read(destination, from, length, input);
        }
    }
}
