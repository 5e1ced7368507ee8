package org.godwithoist.core.id;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EndpointTest {
    @Nested
    final class ValidAddresses {
        /** Guards against an address that is rejected or changed. */
        @Test
        void textIsReadAndWritten() {
            List.of("0.0.0.0:1", "255.255.255.255:65535", "10.1.2.3:0", "[::1]:80", "[fe80::A1]:9")
                    .forEach(text -> assertEquals(text, Endpoint.parse(text).toString()));
        }
    }

    @Nested
    final class InvalidAddresses {
        /** Guards against host names, which would be resolved, and against numbers out of range. */
        @Test
        void textIsRejected() {
            List.of(
                            "",
                            ":80",
                            "1.2.3:80",
                            "1.2.3.4.5:80",
                            "1.2.3.256:80",
                            "1.2.3.0004:80",
                            ".1.2.3:80",
                            "1.2.3.:80",
                            "1..2.3:80",
                            "face:80",
                            "localhost:80",
                            "[::g]:80",
                            "1.2.3.4:65536",
                            "1.2.3.4:-1",
                            "1.2.3.4:",
                            "1.2.3.4")
                    .forEach(
                            text ->
                                    assertThrows(
                                            IllegalArgumentException.class,
                                            () -> Endpoint.parse(text),
                                            text));
        }
    }
}
