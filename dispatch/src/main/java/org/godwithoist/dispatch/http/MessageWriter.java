package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.hc.core5.http.impl.io.SessionOutputBufferImpl;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.godwithoist.dispatch.HeaderField;

/**
 * Writes HTTP/1.1 messages to a connection. Output is buffered until {@link #flush()} and sent in
 * one piece if it fits the buffer. Not thread-safe.
 */
public final class MessageWriter {
    private static final int BUFFER_BYTES = 4096;

    /** Maximum length of a chunk's size and its line ends, in bytes. */
    private static final int MAX_CHUNK_OVERHEAD_BYTES = 12;

    private static final byte[] LINE_END = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};

    private final OutputStream output;

    /**
     * Bytes that are not sent yet; null if there are none, because most connections wait for most
     * of the time.
     */
    private SessionOutputBufferImpl buffer;

    /** Creates a writer; the caller closes the output. */
    public MessageWriter(OutputStream output) {
        this.output = output;
    }

    /** Writes the request line or status line. */
    public void startLine(String text) throws IOException {
        writeLine(text);
    }

    private void writeLine(String text) throws IOException {
        CharArrayBuffer line = new CharArrayBuffer(text.length());
        line.append(text);
        buffer(BUFFER_BYTES).writeLine(line, output);
    }

    /** Writes a header field; the name and the value are not validated. */
    public void field(String name, String value) throws IOException {
        writeLine(name + ": " + value);
    }

    /** Writes header fields in the order of the list. */
    public void fields(List<HeaderField> fields) throws IOException {
        for (HeaderField f : fields) {
            field(f.name(), f.value());
        }
    }

    /** Writes the empty line after the header fields. */
    public void endHead() throws IOException {
        bytes(LINE_END, 0, LINE_END.length);
    }

    /** Writes bytes of a body without chunked coding. */
    public void bytes(byte[] bytes, int from, int length) throws IOException {
        buffer(BUFFER_BYTES).write(bytes, from, length, output);
    }

    /** Writes a chunk of a body. An empty chunk is omitted, because it would end the body. */
    public void chunk(byte[] bytes, int from, int length) throws IOException {
        if (length == 0) {
            return;
        }
        byte[] size = Integer.toHexString(length).getBytes(StandardCharsets.US_ASCII);
        SessionOutputBufferImpl pending =
                buffer(Math.min(BUFFER_BYTES, length + MAX_CHUNK_OVERHEAD_BYTES));
        pending.write(size, 0, size.length, output);
        pending.write(LINE_END, 0, LINE_END.length, output);
        pending.write(bytes, from, length, output);
        pending.write(LINE_END, 0, LINE_END.length, output);
    }

    /** Writes the last chunk, which ends the body. */
    public void lastChunk() throws IOException {
        bytes(LAST_CHUNK, 0, LAST_CHUNK.length);
    }

    /** Sends the buffered output. */
    public void flush() throws IOException {
        if (buffer == null) {
            return;
        }
        buffer.flush(output);
        buffer = null;
    }

    private SessionOutputBufferImpl buffer(int bytesIfNew) {
        if (buffer == null) {
            buffer = new SessionOutputBufferImpl(bytesIfNew);
        }
        return buffer;
    }
}
