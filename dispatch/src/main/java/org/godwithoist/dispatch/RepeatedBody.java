package org.godwithoist.dispatch;

import java.util.Arrays;

/** Finds bodies that their targets have written twice inside the framing of one response. */
public final class RepeatedBody {
    /** Size from which equal halves of a body are no coincidence, in bytes. */
    private static final int MIN_HALF_BYTES = 16;

    private RepeatedBody() {}

    /** Returns whether the second half of a body repeats the first one, byte by byte. */
    public static boolean isIn(byte[] body) {
        int half = body.length / 2;
        return half >= MIN_HALF_BYTES
                && body.length % 2 == 0
                && Arrays.equals(body, 0, half, body, half, body.length);
    }
}
