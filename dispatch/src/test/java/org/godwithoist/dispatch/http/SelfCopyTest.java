package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SelfCopyTest {
    private static final String WHOLE = "some text of a response ".repeat(40);

    private static String head(int length) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
                + length
                + "\r\n\r\n";
    }

    private static boolean isIn(String body) {
        return SelfCopy.isIn(body.getBytes(StandardCharsets.US_ASCII));
    }

    @Nested
    final class BodyFilledUpByItsCopy {
        /** Guards against a part and the beginning of a copy that pass for a whole body. */
        @Test
        void isFoundWhereverTheBodyBreaksOff() {
            String all = head(WHOLE.length()) + WHOLE;
            int last = WHOLE.length() - head(WHOLE.length()).length();
            for (int cut = 0; cut <= last; cut++) {
                String body = (WHOLE.substring(0, cut) + all).substring(0, WHOLE.length());
                assertTrue(isIn(body), "broken off at " + cut);
            }
        }
    }

    @Nested
    final class TextThatQuotesAResponse {
        /** Guards against a sound body that is refused because it quotes HTTP. */
        @Test
        void isPassedOn() {
            assertFalse(isIn("see: " + head(5) + "hello, which is all"));
            assertFalse(isIn("HTTP is spoken here, and HTTP/1.1 200 OK is a status line"));
            String sameStart = "HTTP/1.1 200 OK\r\nDate: now\r\n\r\n".repeat(4);
            assertFalse(isIn(sameStart), "a record of messages");
            assertFalse(isIn("first part: HTTP/1.1 200 OK\r\nDate: now\r\n\r\nother part"));
            String quote = "see: " + head(100) + "x".repeat(200);
            assertFalse(isIn(quote.substring(0, 100)));
        }
    }

    @Nested
    final class LongText {
        private static final Duration MAX_SEARCH_TIME = Duration.ofSeconds(10);
        private static final int MAX_BODY_BYTES = 65_536;
        private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

        /** Guards against a search that overflows the stack and costs a whole response. */
        @Test
        void mayHaveAnyNumberOfLinesAfterAStatusLine() {
            String line = "a:b\n";
            assertFalse(isIn(STATUS_LINE + line.repeat(MAX_BODY_BYTES / line.length())));
        }

        /** Guards against a search whose time grows with the square of the size of a body. */
        @Test
        void isSearchedOnce() {
            String fields = "HTTP/1.1 200 a:b\n".repeat(400_000);
            String oneLine = "HTTP/1.1 200 ".repeat(400_000);
            assertTimeoutPreemptively(MAX_SEARCH_TIME, () -> assertFalse(isIn(fields)));
            assertTimeoutPreemptively(MAX_SEARCH_TIME, () -> assertFalse(isIn(oneLine)));
        }
    }
}
