package org.godwithoist.dispatch;

import java.io.IOException;

/**
 * A short response that was fully buffered and has not been sent to the caller.
 *
 * @param head status and fields
 * @param body complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedResponse(ResponseHead head, byte[] body) {
    /**
     * Sends the response to the caller, with its length unless its head says that the end is not
     * stated.
     */
    public void sendTo(CallerResponse response) throws IOException {
        BegunResponse begun =
                response.start(head.end().isStated() ? head.withLength(body.length) : head);
        begun.write(body, 0, body.length);
        begun.finish();
    }
}
