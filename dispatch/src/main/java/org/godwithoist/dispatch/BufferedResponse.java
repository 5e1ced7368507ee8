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
public record BufferedResponse(ResponseHead head, byte[] body) {
    /** Sends the response to the caller. */
    public void sendTo(CallerResponse response) throws IOException {
        response.start(head.withLength(OptionalLong.of(body.length)));
        response.write(body, 0, body.length);
        response.finish();
    }
}
