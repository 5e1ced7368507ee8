package org.godwithoist.dispatch.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds a second response inside a body: the beginning of the body, a head, and the beginning of
 * the body again. The second head may lack an id. A text that quotes another response is none: its
 * length or its bytes differ.
 */
final class SelfCopy {
    /**
     * Fails where the rest of the line contains another status line. The search goes on there, so
     * that no line is examined from many positions.
     */
    private static final String NO_INNER_STATUS_LINE = "(?![^\\r\\n]*?HTTP/1\\.\\d \\d{3})";

    /** Possessive, because a greedy group of lines takes a stack frame for each line. */
    private static final Pattern HEAD =
            Pattern.compile(
                    "HTTP/1\\.\\d \\d{3}"
                            + NO_INNER_STATUS_LINE
                            + "[^\\r\\n]*+\\r?\\n((?:"
                            + NO_INNER_STATUS_LINE
                            + "[^:\\r\\n]++:[^\\r\\n]*+\\r?\\n)++)(\\r?\\n)?+");

    /**
     * Size from which the beginning of a body behind a head without a length is no coincidence, in
     * bytes.
     */
    private static final int MIN_REPEATED_BYTES = 16;

    private static final String STATUS_LINE_START = "HTTP/";

    private static final Pattern LENGTH =
            Pattern.compile("(?m)^content-length:\\s*(\\d{1,9})\\s*$");

    private SelfCopy() {}

    /** Returns whether a body contains the head of a copy of its response, and then its start. */
    static boolean isIn(byte[] body) {
        if (!mayContainHead(body)) {
            return false;
        }
        String text = new String(body, StandardCharsets.ISO_8859_1);
        Matcher head = HEAD.matcher(text);
        while (head.find()) {
            if (isOfCopy(head, body, text)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isOfCopy(Matcher head, byte[] body, String text) {
        Matcher length = LENGTH.matcher(head.group(1).toLowerCase(Locale.ROOT));
        if (length.find()) {
            boolean sameSize = Integer.parseInt(length.group(1)) == body.length;
            return sameSize && head.group(2) != null && startsAgain(body, head);
        }
        // A chunk may have ended at the empty line after the fields. A record of several messages
        // repeats its beginning, too.
        return repeatableBytes(body, head) >= MIN_REPEATED_BYTES
                && !text.startsWith(STATUS_LINE_START)
                && startsAgain(body, head);
    }

    /** Saves most bodies the decoding. */
    private static boolean mayContainHead(byte[] body) {
        for (int i = 0; i + 5 < body.length; i++) {
            if (body[i] == 'H' && body[i + 1] == 'T' && body[i + 2] == 'T' && body[i + 3] == 'P') {
                return true;
            }
        }
        return false;
    }

    private static int repeatableBytes(byte[] body, Matcher head) {
        return Math.min(head.start(), body.length - head.end());
    }

    /** Returns whether what follows a head is what precedes it, as far as both go. */
    private static boolean startsAgain(byte[] body, Matcher head) {
        int n = repeatableBytes(body, head);
        return Arrays.equals(body, 0, n, body, head.end(), head.end() + n);
    }
}
