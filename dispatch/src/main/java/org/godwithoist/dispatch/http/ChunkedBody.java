package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;

/**
 * The data of a chunked body (RFC 9112, section 7.1). Chunk extensions and trailers, which nobody
 * reads, are skipped byte by byte, so that they take no memory. Together with the sizes and line
 * ends they are limited, so that a peer cannot make the daemon read without end for little data.
 * Not thread-safe.
 */
final class ChunkedBody extends InputStream {
    /** Bytes around the data that are permitted for each byte of data: a chunk of a byte has 5. */
    private static final int FRAMING_FACTOR = 8;

    private static final int HEX_RADIX = 16;
    private static final int HEX_DIGIT_BITS = 4;

    /** From here on another digit would not fit. */
    private static final long MAX_SIZE_PREFIX = Long.MAX_VALUE >> HEX_DIGIT_BITS;

    private final SessionInputBufferImpl buffer;
    private final InputStream input;
    private long permittedFraming;
    private long chunkRemaining;
    private boolean inChunk;
    private boolean ended;

    /**
     * Creates a body whose first chunk is read next.
     *
     * @param maxFreeFraming bytes around the data that are permitted for any body
     */
    ChunkedBody(SessionInputBufferImpl buffer, InputStream input, int maxFreeFraming) {
        this.buffer = buffer;
        this.input = input;
        permittedFraming = maxFreeFraming;
    }

    /** The body has too much around its data. */
    static final class TooMuchFramingException extends IOException {
        private static final long serialVersionUID = 1L;

        TooMuchFramingException() {
            super("chunk sizes, extensions and trailers are too long for the data of the body");
        }
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public int read(byte[] destination, int from, int length) throws IOException {
        if (length == 0) {
            return 0;
        }
        if (chunkRemaining == 0 && !ended) {
            startChunk();
        }
        if (ended) {
            return -1;
        }
        int max = (int) Math.min(length, chunkRemaining);
        int n = buffer.read(destination, from, max, input);
        if (n < 0) {
            throw new MalformedChunkCodingException("the connection ended within a chunk");
        }
        chunkRemaining -= n;
        permittedFraming += (long) FRAMING_FACTOR * n;
        return n;
    }

    private void startChunk() throws IOException {
        if (inChunk) {
            skipLineEnd(readByte());
        }
        chunkRemaining = readSize();
        inChunk = true;
        if (chunkRemaining == 0) {
            skipTrailers();
            ended = true;
        }
    }

    /** Reads the line of a chunk's size, without its extension. */
    private long readSize() throws IOException {
        int b = readByte();
        long size = 0;
        int digits = 0;
        while (Character.digit(b, HEX_RADIX) >= 0) {
            if (size > MAX_SIZE_PREFIX) {
                throw new MalformedChunkCodingException("the size of a chunk is too large");
            }
            size = (size << HEX_DIGIT_BITS) + Character.digit(b, HEX_RADIX);
            digits++;
            b = readByte();
        }
        while (b == ' ' || b == '\t') {
            b = readByte();
        }
        if (digits == 0 || (b != ';' && b != '\r' && b != '\n')) {
            throw new MalformedChunkCodingException("the size of a chunk is not a number");
        }
        if (b == ';') {
            skipLine(b);
        } else {
            skipLineEnd(b);
        }
        return size;
    }

    /** Skips the fields after the last chunk and the empty line that ends the body. */
    private void skipTrailers() throws IOException {
        int b = readByte();
        while (b != '\r' && b != '\n') {
            skipTrailer(b);
            b = readByte();
        }
        skipLineEnd(b);
    }

    /** Skips a field, which has a name, or the continued line of one. */
    private void skipTrailer(int first) throws IOException {
        int b = first;
        boolean continued = first == ' ' || first == '\t';
        while (!continued && b != ':') {
            if (b <= ' ' || b > '~') {
                throw new MalformedChunkCodingException("a trailer has no name");
            }
            b = readByte();
        }
        if (first == ':') {
            throw new MalformedChunkCodingException("a trailer has an empty name");
        }
        skipLine(b);
    }

    private void skipLine(int first) throws IOException {
        int b = first;
        while (b != '\n') {
            b = readByte();
        }
    }

    /** Skips a line end that begins with a byte; a line feed alone is one too. */
    private void skipLineEnd(int first) throws IOException {
        int b = first == '\r' ? readByte() : first;
        if (b != '\n') {
            throw new MalformedChunkCodingException("a chunk does not end where its size says");
        }
    }

    private int readByte() throws IOException {
        if (permittedFraming == 0) {
            throw new TooMuchFramingException();
        }
        permittedFraming--;
        int b = buffer.read(input);
        if (b < 0) {
            throw new MalformedChunkCodingException("the connection ended within a chunked body");
        }
        return b;
    }
}
