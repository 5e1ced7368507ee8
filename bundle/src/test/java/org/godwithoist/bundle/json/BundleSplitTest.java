package org.godwithoist.bundle.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.BundleDiff;
import org.godwithoist.bundle.BundleParser;
import org.godwithoist.bundle.Change;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.bundle.Fixture;
import org.godwithoist.bundle.Manifest;
import org.godwithoist.bundle.Revision;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BundleSplitTest {
    private static Bundle bundle(int workspaces, int share) {
        return BundleParser.parse("b.json", Fixture.text(workspaces, share));
    }

    @Nested
    class Parts {
        /** Guards against a bundle that differs after encoding and decoding its parts. */
        @Test
        void decodeToTheSameBundle() {
            Bundle bundle = bundle(200, 3);
            Revision split = BundleSplit.split(bundle);
            Manifest manifest = Manifest.decode(split.manifest().encode());
            Revision read = Revision.assemble(manifest, split.objects(), h -> Optional.empty());
            assertEquals(bundle, read.bundle());
            assertEquals(split.hash(), read.hash());
        }

        /**
         * Guards against a change of one workspace that changes more than its part and the
         * manifest.
         */
        @Test
        void differInOneGroupAfterAChangeOfOneWorkspace() {
            Revision before = BundleSplit.split(bundle(2_300, 1));
            Revision after = BundleSplit.split(bundle(2_300, 2));
            Set<ContentHash> changed = new HashSet<>(after.objects().keySet());
            changed.removeAll(before.objects().keySet());
            assertEquals(2, changed.size());
        }

        /** Guards against hashes that depend on whitespace or comments. */
        @Test
        void doNotDependOnWhitespaceOrComments() {
            String text = Fixture.text(3, 1);
            String other = text.replace("{\"format\"", "/* note */ {  \"format\"");
            assertEquals(
                    BundleSplit.split(BundleParser.parse("a", text)).hash(),
                    BundleSplit.split(BundleParser.parse("b", other)).hash());
            assertNotEquals(
                    BundleSplit.split(bundle(3, 1)).hash(), BundleSplit.split(bundle(3, 2)).hash());
        }

        /** Guards against assembling a revision from inconsistent or incomplete parts. */
        @Test
        void areRejectedIfInconsistentOrIncomplete() {
            Revision split = BundleSplit.split(bundle(3, 1));
            Map<ContentHash, byte[]> fewer = new HashMap<>(split.objects());
            fewer.remove(split.manifest().parts().lastEntry().getValue());
            assertThrows(
                    IllegalArgumentException.class,
                    () -> Revision.assemble(split.manifest(), fewer, h -> Optional.empty()));
            var names = new java.util.TreeMap<>(split.manifest().parts());
            names.keySet().removeIf(n -> n.kind() == org.godwithoist.bundle.PartKind.POOL);
            assertThrows(
                    IllegalArgumentException.class,
                    () ->
                            Revision.assemble(
                                    new Manifest(names), split.objects(), h -> Optional.empty()));
        }
    }

    @Nested
    class Differences {
        /** Guards against a change that is not shown to a reviewer. */
        @Test
        void areDescribedForEachKindOfChange() {
            List<String> lines =
                    BundleDiff.between(bundle(2, 1), bundle(3, 5)).stream()
                            .map(Change::describe)
                            .toList();
            assertEquals(
                    List.of(
                            "workspace workspace-0: share changes from 1 to 5",
                            "workspace workspace-2 is added: keyHashes [00000000], share 1,"
                                    + " maxPriority urgent, maxConcurrent 1000"),
                    lines);
            assertEquals(
                    "workspace workspace-1 is removed",
                    BundleDiff.between(bundle(2, 1), bundle(1, 1)).getFirst().describe());
        }
    }
}
