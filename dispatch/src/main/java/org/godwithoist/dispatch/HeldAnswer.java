package org.godwithoist.dispatch;

import java.io.IOException;
import java.util.OptionalLong;

/**
 * A short response that was fully buffered and has not been sent to the caller.
 *
 * @param head status and fields
 * @param body complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record HeldAnswer(AnswerHead head, byte[] body) {
    /** Sends the response to the caller. */
    public void sendTo(CallerAnswer caller) throws IOException {
        caller.begin(head.withLength(OptionalLong.of(body.length)));
        caller.write(body, 0, body.length);
        caller.finish();
    }
}
