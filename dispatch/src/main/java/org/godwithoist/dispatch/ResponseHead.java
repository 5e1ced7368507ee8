package org.godwithoist.dispatch;

import java.util.List;
import java.util.OptionalLong;

/**
 * Status and header fields of a target's response.
 *
 * @param status HTTP status
 * @param fields fields to pass on to the caller
 * @param length length of the body in bytes; empty if it is not known in advance
 */
public record ResponseHead(int status, List<HeaderField> fields, OptionalLong length) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /** Returns whether the status is in the range 200 to 299. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /** Returns this head with another length of the body. */
    public ResponseHead withLength(OptionalLong next) {
        return new ResponseHead(status, fields, next);
    }
}
