package org.godwithoist.bundle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.godwithoist.bundle.json.BundleSplit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReferencePagesTest {
    private static final Path DOCS = Path.of("../docs");

    private static Bundle example(String page) throws IOException {
        String text = Files.readString(DOCS.resolve(page));
        Matcher m = Pattern.compile("```json\n(.*?)```", Pattern.DOTALL).matcher(text);
        assertTrue(m.find(), "no example in " + page);
        return BundleParser.parse(page, m.group(1));
    }

    @Nested
    class Examples {
        /** Guards against a documented example that the parser rejects. */
        @ParameterizedTest
        @ValueSource(strings = {"bundle-reference.md", "operators/bundles.md"})
        void areValid(String page) throws IOException {
            assertEquals(3, example(page).serviceLevels().size());
        }
    }

    @Nested
    class Tables {
        /** Guards against a field that is missing in the reference. */
        @Test
        void explainEveryField() throws IOException {
            String page = Files.readString(DOCS.resolve("bundle-reference.md"));
            Revision split = BundleSplit.split(example("bundle-reference.md"));
            for (byte[] part : split.objects().values()) {
                String text = new String(part, StandardCharsets.UTF_8);
                Matcher m = Pattern.compile("\"([a-zA-Z]+)\":").matcher(text);
                while (m.find()) {
                    assertTrue(page.contains("`" + m.group(1) + "`"), m.group(1));
                }
            }
        }
    }
}
