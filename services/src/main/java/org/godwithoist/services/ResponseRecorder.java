package org.godwithoist.services;

import java.io.ByteArrayOutputStream;

/**
 * Buffers a response while it is streamed. A response that is too long, or for which the budget has
 * no room, is not retained.
 */
final class ResponseRecorder implements AutoCloseable {
    private final ResponseHead head;
    private final MemoryBudget budget;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean dropped;

    ResponseRecorder(ResponseHead head, MemoryBudget budget) {
        this.head = head;
        this.budget = budget;
    }

    void add(byte[] chunk) {
        boolean fits = body.size() + chunk.length <= StoredResponse.MAX_RETAINED_BYTES;
        if (!dropped && fits && budget.tryReserve(chunk.length)) {
            body.writeBytes(chunk);
        } else {
            dropped = true;
            close();
        }
    }

    StoredResponse storedResponse() {
        return dropped
                ? StoredResponse.withoutBody(head)
                : StoredResponse.of(head, body.toByteArray());
    }

    /** Returns the bytes to the budget. */
    @Override
    public void close() {
        budget.release(body.size());
        body.reset();
    }
}
