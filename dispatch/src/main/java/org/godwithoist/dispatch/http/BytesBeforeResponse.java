package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;

/**
 * The bytes of a connection that precede the head of a response. A target may send a response that
 * nobody waits for within a body whose end it does not state, or after a part of another response,
 * so that only the head tells where it begins. Bytes that may belong to a head are held back until
 * the head is complete. If the end of the bytes is stated, a head that crosses it shows that the
 * bytes before the head are not whole. Not thread-safe.
 */
final class BytesBeforeResponse extends InputStream {
    private static final int INITIAL_BYTES = 1024;

    /** Beginning of a status line; {@code 0} stands for any digit. */
    private static final String STATUS_LINE_START = "HTTP/1.0 000";

    /**
     * Size from which the beginning of a status line, {@code HTTP/1.0} and a space, is taken for
     * that of a head. A text may well end with the version.
     */
    static final int MIN_HEAD_START_BYTES = 9;

    /** Beginning of a status line inside a line: what precedes it is a part of something else. */
    private static final Pattern INNER_STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}");

    /** What the bytes at a position are. */
    private enum Candidate {
        /** The head of a response that is sought. */
        HEAD,
        /** The beginning of what may be a head. */
        INCOMPLETE,
        /** No head, or that of a response that is not sought. */
        OTHER
    }

    private InputStream source;
    private final Optional<Continuation> continuation;
    private final Predicate<Header[]> isSought;
    private final int maxHeadBytes;
    private byte[] bytes = new byte[INITIAL_BYTES];

    /** Position of the first byte that was not returned. */
    private int position;

    /** Position up to which the bytes precede any head. */
    private int examined;

    private int limit;

    /**
     * Offset of the first line of a possible head that was not examined; 0 for its status line. An
     * input in small pieces would have its lines examined with each piece otherwise.
     */
    private int lineOffset;

    /** Fields in the lines before it. */
    private final List<Header> fields = new ArrayList<>(0);

    /** Position of the stated end; unknown until the source has ended. */
    private int statedEnd = Integer.MAX_VALUE;

    private boolean ended;
    private boolean foundHead;

    /**
     * What follows the stated end of the bytes.
     *
     * @param input the bytes after the end
     * @param awaitBytes waits for bytes after the end, if it is given the size of what may be the
     *     beginning of a head before it; returns whether there are any
     */
    record Continuation(InputStream input, IntPredicate awaitBytes) {}

    /**
     * Creates a stream that ends where the source ends or a head begins.
     *
     * @param isSought whether the header fields are those of a response at which the stream ends
     * @param maxHeadBytes size from which bytes are not taken for a head
     */
    BytesBeforeResponse(InputStream source, Predicate<Header[]> isSought, int maxHeadBytes) {
        this(source, isSought, maxHeadBytes, Optional.empty());
    }

    /**
     * Creates a stream that ends where the source ends or a head begins.
     *
     * @param isSought whether the header fields are those of a response at which the stream ends
     * @param maxHeadBytes size from which bytes are not taken for a head
     * @param continuation what follows the source if its end is stated
     */
    BytesBeforeResponse(
            InputStream source,
            Predicate<Header[]> isSought,
            int maxHeadBytes,
            Optional<Continuation> continuation) {
        this.source = source;
        this.isSought = isSought;
        this.maxHeadBytes = maxHeadBytes;
        this.continuation = continuation;
    }

    /** Returns whether the stream has ended at a head. */
    boolean foundHead() {
        return foundHead;
    }

    /** Returns the bytes that were read from the source and not returned: the head and more. */
    byte[] remainingBytes() {
        return Arrays.copyOfRange(bytes, position, limit);
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    /**
     * Reads bytes that precede the head.
     *
     * @throws PartialHeadException if the source ends within a head
     */
    @Override
    public int read(byte[] destination, int from, int length) throws IOException {
        while (position == examined) {
            if (foundHead || examined == statedEnd || (ended && examined == limit)) {
                return -1;
            }
            examine();
        }
        int n = Math.min(length, examined - position);
        System.arraycopy(bytes, position, destination, from, n);
        position += n;
        return n;
    }

    /** Examines the bytes that were read, and reads more if they do not suffice. */
    private void examine() throws IOException {
        if (examined == limit) {
            fill();
        }
        int end = Math.min(limit, statedEnd);
        while (examined < end && bytes[examined] != STATUS_LINE_START.charAt(0)) {
            examined++;
        }
        if (examined > position || examined == end) {
            return;
        }
        switch (candidateAt(examined)) {
            case HEAD -> foundHead = true;
            case OTHER -> passOver();
            case INCOMPLETE -> awaitMore();
        }
    }

    private void passOver() {
        examined++;
        lineOffset = 0;
        fields.clear();
    }

    private void awaitMore() throws IOException {
        boolean beyondEnd = statedEnd != Integer.MAX_VALUE;
        if (!ended && !beyondEnd) {
            fill();
            return;
        }
        if (continuation.isEmpty()) {
            endWithoutHead(true);
            return;
        }
        if (!beyondEnd) {
            statedEnd = limit;
            source = continuation.get().input();
            ended = false;
        }
        if (!ended && continuation.get().awaitBytes().test(limit - examined)) {
            fill();
        } else {
            endWithoutHead(limit > statedEnd);
        }
    }

    /**
     * Ends at the end of all bytes.
     *
     * @param mayBeHead whether what resembles the beginning of a head may be one; within a stated
     *     end it is a part of the bytes
     */
    private void endWithoutHead(boolean mayBeHead) throws PartialHeadException {
        boolean longEnough = limit - examined >= MIN_HEAD_START_BYTES;
        if ((mayBeHead && longEnough) || isSoughtInPart()) {
            throw new PartialHeadException();
        }
        examined = Math.min(limit, statedEnd);
    }

    private void fill() throws IOException {
        if (position > 0) {
            System.arraycopy(bytes, position, bytes, 0, limit - position);
            limit -= position;
            examined -= position;
            if (statedEnd != Integer.MAX_VALUE) {
                statedEnd -= position;
            }
            position = 0;
        }
        if (limit == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * bytes.length);
        }
        int n = source.read(bytes, limit, bytes.length - limit);
        ended = n < 0;
        limit += Math.max(0, n);
    }

    private Candidate candidateAt(int start) {
        for (int i = 0; i < STATUS_LINE_START.length(); i++) {
            if (start + i == limit) {
                return Candidate.INCOMPLETE;
            }
            if (!matches(STATUS_LINE_START.charAt(i), bytes[start + i])) {
                return Candidate.OTHER;
            }
        }
        return fieldsAfter(start + STATUS_LINE_START.length(), start);
    }

    private static boolean matches(char expected, byte actual) {
        return expected == '0' ? actual >= '0' && actual <= '9' : actual == expected;
    }

    /** Examines the rest of the status line and the fields after it, as far as they are new. */
    private Candidate fieldsAfter(int afterStatus, int start) {
        if (lineOffset == 0) {
            int lineEnd = lineEnd(afterStatus);
            if (hasInnerStatusLine(line(afterStatus, lineEnd < 0 ? limit : lineEnd))) {
                return Candidate.OTHER;
            }
            if (lineEnd < 0) {
                return incompleteUpTo(start + maxHeadBytes);
            }
            lineOffset = lineEnd + 1 - start;
        }
        while (lineOffset <= maxHeadBytes) {
            int lineStart = start + lineOffset;
            int lineEnd = lineEnd(lineStart);
            String line = line(lineStart, lineEnd < 0 ? limit : lineEnd);
            if (hasInnerStatusLine(line)) {
                return Candidate.OTHER;
            }
            if (lineEnd < 0) {
                break;
            }
            if (line.isEmpty()) {
                boolean crossesEnd = lineEnd >= statedEnd && !fields.isEmpty();
                boolean sought = crossesEnd || isSought.test(fields.toArray(new Header[0]));
                return sought ? Candidate.HEAD : Candidate.OTHER;
            }
            int colon = line.indexOf(':');
            if (colon <= 0) {
                return isSoughtInPart() ? Candidate.HEAD : Candidate.OTHER;
            }
            fields.add(new BasicHeader(line.substring(0, colon), line.substring(colon + 1).trim()));
            lineOffset = lineEnd + 1 - start;
        }
        return incompleteUpTo(start + maxHeadBytes);
    }

    /**
     * Returns whether the first fields of a head are sought that lacks its end. The end of a chunk
     * may fall on a line end of a copy in it, which is then taken out with the size after it.
     */
    private boolean isSoughtInPart() {
        return continuation.isPresent()
                && !fields.isEmpty()
                && isSought.test(fields.toArray(new Header[0]));
    }

    private Candidate incompleteUpTo(int end) {
        return limit < end ? Candidate.INCOMPLETE : Candidate.OTHER;
    }

    private static boolean hasInnerStatusLine(String line) {
        return INNER_STATUS_LINE.matcher(line).find();
    }

    /** Returns the position of the line feed that ends a line; negative if it was not read. */
    private int lineEnd(int from) {
        for (int i = from; i < limit; i++) {
            if (bytes[i] == '\n') {
                return i;
            }
        }
        return -1;
    }

    private String line(int start, int lineEnd) {
        boolean hasCarriageReturn = lineEnd > start && bytes[lineEnd - 1] == '\r';
        int end = hasCarriageReturn ? lineEnd - 1 : lineEnd;
        return new String(bytes, start, end - start, StandardCharsets.ISO_8859_1);
    }

    /** The source has ended within the head of another response. */
    static final class PartialHeadException extends ConnectionClosedException {
        private static final long serialVersionUID = 1L;

        PartialHeadException() {
            super("the connection ended within the head of another response");
        }
    }
}
