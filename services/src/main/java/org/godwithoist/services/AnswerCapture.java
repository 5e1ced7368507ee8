package org.godwithoist.services;

import java.io.ByteArrayOutputStream;

/**
 * Buffers a response while it is streamed. A response that is too long, or for which the budget has
 * no room, is not retained.
 */
final class AnswerCapture implements AutoCloseable {
    private final AnswerHead head;
    private final MemoryBudget budget;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean dropped;

    AnswerCapture(AnswerHead head, MemoryBudget budget) {
        this.head = head;
        this.budget = budget;
    }

    void add(byte[] piece) {
        boolean fits = body.size() + piece.length <= StoredAnswer.MAX_KEPT;
        if (!dropped && fits && budget.tryTake(piece.length)) {
            body.writeBytes(piece);
        } else {
            dropped = true;
            close();
        }
    }

    StoredAnswer answer() {
        return dropped ? StoredAnswer.notKept(head) : StoredAnswer.of(head, body.toByteArray());
    }

    /** Returns the bytes to the budget. */
    @Override
    public void close() {
        budget.giveBack(body.size());
        body.reset();
    }
}
