package org.godwithoist.bundle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import org.godwithoist.core.json.FindingsException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BundleParserTest {
    @Nested
    class SeveralFindings {
        /** Guards against a parser that stops at the first error or loses a location. */
        @Test
        void areReportedTogetherWithTheirLocations() {
            String text =
                    """
                    {"format": 1, "failureDomains": ["d1"],
                     "workspaces": [{"id": "antwerp", "keyHashes": ["short"], "share": 0}],
                     "models": [{"id": "m", "pool": "nowhere"}],
                     "pools": [{"id": "p", "reservedSlots": 9, "typo": 1}],
                     "serviceLevels": [{"priority": "urgent"}]}
                    """;
            var e = assertThrows(FindingsException.class, () -> BundleParser.parse("b.json", text));
            List<String> locations =
                    e.findings().stream()
                            .map(f -> f.location().line() + " " + f.location().path())
                            .sorted()
                            .toList();
            assertEquals(
                    List.of(
                            "2 /workspaces/0/keyHashes/0",
                            "2 /workspaces/0/share",
                            "3 /models/0/pool",
                            "4 /pools/0/reservedSlots",
                            "4 /pools/0/typo",
                            "5 /serviceLevels",
                            "5 /serviceLevels"),
                    locations);
            e.findings().forEach(f -> assertEquals("b.json", f.location().file()));
            assertTrue(e.findings().stream().allMatch(f -> f.location().column() > 1));
        }
    }

    @Nested
    class ManyWorkspaces {
        /** Guards against an index that omits a key hash or maps it to the wrong workspace. */
        @Test
        void areFoundByEachOfTheirKeyHashes() {
            Bundle bundle = BundleParser.parse("b.json", Fixture.text(2_300, 1));
            for (int i = 0; i < 2_300; i++) {
                String hash = String.format(Locale.ROOT, "%064x", i);
                assertEquals(
                        "workspace-" + i,
                        bundle.workspaceByKeyHash(hash).orElseThrow().id().value());
            }
            assertTrue(bundle.workspaceByKeyHash("f".repeat(64)).isEmpty());
        }
    }
}
