package org.godwithoist.dispatch;

import java.util.List;

/**
 * Status and header fields of a target's response.
 *
 * @param status HTTP status
 * @param fields fields to pass on to the caller
 * @param end how the end of the body is stated
 * @param length length of the body in bytes if the end is {@link BodyEnd#LENGTH}, otherwise 0
 */
public record ResponseHead(int status, List<HeaderField> fields, BodyEnd end, long length) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /** Returns whether the status is in the range 200 to 299. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /**
     * Returns the head for a body that was read up to its end. It states the length, unless the
     * target has stated no end.
     *
     * @param bytes number of bytes read
     */
    public ResponseHead forBufferedBody(int bytes) {
        return end == BodyEnd.CONNECTION
                ? this
                : new ResponseHead(status, fields, BodyEnd.LENGTH, bytes);
    }
}
