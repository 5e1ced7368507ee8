package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.godwithoist.dispatch.BodyChecksum;
import org.godwithoist.dispatch.BodyEnd;

/**
 * The body of a target's response. It ends where its framing says, or where another response
 * begins, whichever comes first. Not thread-safe.
 */
final class TargetBody extends InputStream {
    private final MessageReader reader;
    private final Framing framing;
    private final InputStream source;
    private final Optional<BytesBeforeResponse> boundary;
    private final BodyChecksum checksum = new BodyChecksum();
    private boolean ended;
    private boolean endedInsideHead;

    /** Creates a body in which no other response is looked for, because its framing shows it. */
    TargetBody(MessageReader reader, Framing framing) {
        this.reader = reader;
        this.framing = framing;
        source = reader.body(framing);
        boundary = Optional.empty();
    }

    /** Creates a body that ends at the head of another response. */
    TargetBody(MessageReader reader, Framing framing, BytesBeforeResponse source) {
        this.reader = reader;
        this.framing = framing;
        this.source = source;
        boundary = Optional.of(source);
    }

    /** Returns how the target states the end of the body. */
    BodyEnd end() {
        return framing.kind().bodyEnd();
    }

    /** Returns whether the response has a body, by its status and the method of its request. */
    boolean isPresent() {
        return framing.kind() != Framing.Kind.NONE;
    }

    /** Returns the size and the checksum of what was read. */
    BodyChecksum checksum() {
        return checksum;
    }

    /** Returns whether the end of the body was read. */
    boolean hasEnded() {
        return ended;
    }

    /** Returns whether the body has ended where the head of another response begins. */
    boolean endsAtResponse() {
        return ended && boundary.isPresent() && boundary.get().foundHead();
    }

    /** Returns whether the connection has ended inside such a head. */
    boolean endsInsideHead() {
        return endedInsideHead;
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public int read(byte[] destination, int from, int length) throws IOException {
        if (ended) {
            return -1;
        }
        int n = readSource(destination, from, length);
        if (n >= 0) {
            checksum.add(destination, from, n);
            return n;
        }
        ended = true;
        if (boundary.isPresent()) {
            reader.unreadAfter(boundary.get());
        }
        return -1;
    }

    private int readSource(byte[] destination, int from, int length) throws IOException {
        try {
            return source.read(destination, from, length);
        } catch (BytesBeforeResponse.PartialHeadException e) {
            endedInsideHead = true;
            return -1;
        }
    }
}
