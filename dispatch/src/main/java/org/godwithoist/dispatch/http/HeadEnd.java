package org.godwithoist.dispatch.http;

/**
 * Finds the empty line that ends a message head in what is read, because a read may go on into the
 * body. Not thread-safe.
 */
final class HeadEnd {
    private boolean hasLine;
    private boolean inLine;
    private boolean found;

    /**
     * Returns how many of the next bytes belong to the head.
     *
     * @param from index of the first byte
     * @param length number of bytes
     */
    int find(byte[] bytes, int from, int length) {
        int count = 0;
        while (!found && count < length) {
            accept(bytes[from + count]);
            count++;
        }
        return count;
    }

    private void accept(byte b) {
        if (b == '\n') {
            // Empty lines before the first line belong to the head.
            found = hasLine && !inLine;
            inLine = false;
        } else if (b != '\r') {
            inLine = true;
            hasLine = true;
        }
    }
}
