package org.godwithoist.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.godwithoist.core.json.FindingsException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DaemonSettingsTest {
    private static String example() throws IOException {
        String page = Files.readString(Path.of("../docs/settings-reference.md"));
        int start = page.indexOf("```json\n") + "```json\n".length();
        return page.substring(start, page.indexOf("```", start));
    }

    @Nested
    class DocumentedExample {
        /** Guards against a documented example that a daemon does not accept. */
        @Test
        void isAccepted() throws IOException {
            DaemonSettings settings = DaemonSettings.parse("settings.json", example());
            assertEquals("entry-3", settings.host().value());
            assertEquals(2, settings.peerKeys().size());
            assertEquals(2, settings.operatorKeys().size());
        }
    }

    @Nested
    class Seeds {
        /** Guards against a seed that is unreachable because of a typing error in its address. */
        @Test
        void invalidAddressIsReported() throws IOException {
            String invalid = example().replace("10.0.1.7:8082", "entry-1:8082");
            var thrown =
                    assertThrows(
                            FindingsException.class, () -> DaemonSettings.parse("s.json", invalid));
            assertEquals("/seeds/0/peer", thrown.findings().get(0).location().path());
        }

        /** Guards against reading the address of a seed from another field. */
        @Test
        void addressIsParsed() throws IOException {
            DaemonSettings settings = DaemonSettings.parse("settings.json", example());
            assertEquals("10.0.1.7:8082", settings.seeds().get(0).peer().toString());
        }
    }

    @Nested
    class Operators {
        /** Guards against an invalid operator key that is detected only at the first signature. */
        @Test
        void allInvalidFieldsAreReported() throws IOException {
            String invalid =
                    example()
                            .replace("\"anna\"", "\"an na\"")
                            .replace("9f86d081", "9F86d081")
                            .replaceFirst("\"MCow[^\"]*\"", "\"MCow\"");
            var thrown =
                    assertThrows(
                            FindingsException.class, () -> DaemonSettings.parse("s.json", invalid));
            List<String> paths = thrown.findings().stream().map(f -> f.location().path()).toList();
            assertEquals(
                    List.of(
                            "/operators/0/name",
                            "/operators/0/tokenHash",
                            "/operators/0/publicKey"),
                    paths);
        }
    }
}
