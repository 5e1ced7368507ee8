package org.godwithoist.dispatch;

import java.util.List;

/**
 * Status and header fields of a target's response, and how the caller is told where its body ends.
 *
 * @param status HTTP status
 * @param fields fields to pass on to the caller
 * @param end how the end of the body is stated to the caller
 * @param length length of the body in bytes if the end is {@link BodyEnd#LENGTH}, otherwise 0
 */
public record ResponseHead(int status, List<HeaderField> fields, BodyEnd end, long length) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /**
     * Creates the head of a response that is forwarded while it is read.
     *
     * @param end how the target states the end of the body
     */
    public static ResponseHead of(int status, List<HeaderField> fields, BodyEnd end) {
        return new ResponseHead(
                status, fields, end.isStated() ? BodyEnd.MARK : BodyEnd.CONNECTION, 0);
    }

    /** Returns whether the status is in the range 200 to 299. */
    public boolean isSuccess() {
        return isSuccess(status);
    }

    /** Returns whether a status is in the range 200 to 299. */
    public static boolean isSuccess(int status) {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /** Returns whether the status permits a body. */
    public boolean hasBody() {
        return status != NO_CONTENT && status != NOT_MODIFIED;
    }

    /** Returns this head for a body that is known to be whole. */
    public ResponseHead withLength(long bytes) {
        return new ResponseHead(status, fields, BodyEnd.LENGTH, bytes);
    }
}
