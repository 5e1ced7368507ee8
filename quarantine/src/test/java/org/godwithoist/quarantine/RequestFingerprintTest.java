package org.godwithoist.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RequestFingerprintTest {
    private static RequestFingerprint of(String body, String... texts) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return RequestFingerprint.of(digest -> digest.update(bytes), texts);
    }

    @Nested
    final class Repeats {
        /** Guards against a repeat that is taken for another request. */
        @Test
        void equalRequestsHaveTheSameFingerprint() {
            RequestFingerprint first = of("body", "POST", "/a", "w1");
            assertEquals(first, of("body", "POST", "/a", "w1"));
            assertEquals(RequestFingerprint.DIGITS, first.value().length());
        }
    }

    @Nested
    final class OtherRequests {
        /** Guards against sound requests that are taken for one that crashes targets. */
        @Test
        void eachPartOfTheRequestCounts() {
            RequestFingerprint first = of("body", "POST", "/a", "w1");
            assertNotEquals(first, of("Body", "POST", "/a", "w1"));
            assertNotEquals(first, of("body", "POST", "/a", "w2"));
            assertNotEquals(first, of("body", "POST", "/b", "w1"));
            assertNotEquals(first, of("body", "PUT", "/a", "w1"));
        }

        /** Guards against callers that move the border of two texts. */
        @Test
        void textsDoNotGoOnInEachOther() {
            assertNotEquals(of("", "/ab", "c"), of("", "/a", "bc"));
            assertNotEquals(of("c", "/ab", ""), of("", "/ab", "c"));
        }
    }
}
