package org.godwithoist.dispatch;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Body of a request, in blocks. Unlike one array, which is allocated at its announced length or
 * doubled while it grows, blocks take hardly more memory than what has arrived.
 */
public final class RequestBody {
    /** The body of a request without one. */
    public static final RequestBody EMPTY = new RequestBody(List.of(), 0);

    private final List<byte[]> blocks;
    private final int length;

    private RequestBody(List<byte[]> blocks, int length) {
        this.blocks = blocks;
        this.length = length;
    }

    /** Returns a body of the given bytes, which must not be changed afterwards. */
    public static RequestBody of(byte[] bytes) {
        return new RequestBody(List.of(bytes), bytes.length);
    }

    /** Receives the bytes of a body. */
    @FunctionalInterface
    public interface Sink<E extends Exception> {
        /** Receives the next bytes. */
        void accept(byte[] bytes, int from, int length) throws E;
    }

    /** Returns the number of bytes. */
    public int length() {
        return length;
    }

    /** Passes on a part of the body. */
    public <E extends Exception> void write(int from, int to, Sink<E> sink) throws E {
        int last = Math.min(to, length);
        int blockStart = 0;
        for (byte[] b : blocks) {
            int first = Math.max(from, blockStart);
            int end = Math.min(last, blockStart + b.length);
            if (first < end) {
                sink.accept(b, first - blockStart, end - first);
            }
            blockStart += b.length;
        }
    }

    /** Collects the bytes of a body as they arrive. Not thread-safe. */
    public static final class Builder {
        private static final int MIN_BLOCK_BYTES = 512;
        private static final int MAX_BLOCK_BYTES = 8192;

        private final List<byte[]> blocks = new ArrayList<>();
        private final int expectedSize;
        private int size;
        private int used;

        /**
         * Creates a builder without bytes.
         *
         * @param expectedSize size of the body if it is known, otherwise 0
         */
        public Builder(int expectedSize) {
            this.expectedSize = expectedSize;
        }

        /** Returns the number of bytes. */
        public int size() {
            return size;
        }

        /** Returns the number of bytes that the next read adds at most. */
        public int room() {
            return hasRoom() ? blocks.getLast().length - used : nextBlockBytes();
        }

        private boolean hasRoom() {
            return !blocks.isEmpty() && used < blocks.getLast().length;
        }

        /**
         * Adds bytes of an input, at most {@link #room()}.
         *
         * @return the number of bytes; -1 at the end of the input
         */
        public int readFrom(InputStream input) throws IOException {
            if (!hasRoom()) {
                blocks.add(new byte[nextBlockBytes()]);
                used = 0;
            }
            byte[] block = blocks.getLast();
            int n = input.read(block, used, block.length - used);
            used += Math.max(0, n);
            size += Math.max(0, n);
            return n;
        }

        /** A body of unknown size gets larger blocks as it grows, so that a small one stays so. */
        private int nextBlockBytes() {
            return expectedSize > size
                    ? Math.min(expectedSize - size, MAX_BLOCK_BYTES)
                    : Math.clamp(size, MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        }

        /** Returns all bytes as a body. */
        public RequestBody build() {
            return new RequestBody(List.copyOf(blocks), size);
        }
    }
}
