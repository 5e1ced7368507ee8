package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class RepeatedBodyTest {
    private static void check(boolean expected, String body) {
        assertEquals(expected, RepeatedBody.isIn(body.getBytes(StandardCharsets.US_ASCII)), body);
    }

    @Nested
    final class EqualHalves {
        /** Guards against a body that is delivered although its target has written it twice. */
        @ParameterizedTest
        @ValueSource(strings = {"{\"left\":12,\"kept\":3}", "0123456789abcdef"})
        void areFound(String half) {
            check(true, half + half);
        }

        /** Guards against short values, such as digits, that cost a second attempt. */
        @ParameterizedTest
        @ValueSource(strings = {"", "0", "77", "{}{}", "0123456789abcde0123456789abcde"})
        void areNoEvidenceIfTheyAreShort(String body) {
            check(false, body);
        }
    }

    @Nested
    final class OtherBodies {
        /** Guards against bodies that are taken for repeated because they begin or end alike. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "0123456789abcdef0123456789abcdeX",
                    "X123456789abcdef0123456789abcdef",
                    "0123456789abcdef0123456789abcdef0"
                })
        void areNotFound(String body) {
            check(false, body);
        }
    }
}
