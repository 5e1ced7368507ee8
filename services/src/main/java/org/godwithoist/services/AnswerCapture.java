package org.godwithoist.services;

import java.io.ByteArrayOutputStream;

/** Collects an answer while it is streamed, up to the longest answer that is kept. */
final class AnswerCapture {
    private final AnswerHead head;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean tooLong;

    AnswerCapture(AnswerHead head) {
        this.head = head;
    }

    void add(byte[] piece) {
        if (tooLong || body.size() + piece.length > StoredAnswer.MAX_KEPT) {
            tooLong = true;
            body.reset();
            return;
        }
        body.writeBytes(piece);
    }

    StoredAnswer answer() {
        return tooLong ? StoredAnswer.notKept(head) : StoredAnswer.of(head, body.toByteArray());
    }
}
