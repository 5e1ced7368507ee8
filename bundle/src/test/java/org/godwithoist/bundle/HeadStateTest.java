package org.godwithoist.bundle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.godwithoist.bundle.json.BundleSplit;
import org.godwithoist.settings.OperatorKey;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HeadStateTest {
    private final Fixture fixture = new Fixture();
    private final HeadState state = new HeadState(fixture.keys());
    private final Revision content = BundleSplit.split(BundleParser.parse("b", Fixture.text(2, 1)));

    private Head head(long revision) {
        return fixture.head(revision, content.hash(), Fixture.ANNA, Fixture.BEN);
    }

    @Nested
    class ValidHeads {
        /** Guards against a replayed old revision that replaces a newer one. */
        @Test
        void replaceOnlyLowerRevisions() {
            assertEquals(Verdict.NEWER, state.adopt(head(2), content));
            assertEquals(Verdict.CURRENT, state.evaluate(head(2)));
            assertEquals(Verdict.OLD, state.adopt(head(1), content));
            assertEquals(2, state.revisionNumber());
            assertEquals(Verdict.NEWER, state.adopt(head(5), content));
        }

        /** Guards against a head that is put in force with the content of another head. */
        @Test
        void requireMatchingContent() {
            Revision other = BundleSplit.split(BundleParser.parse("b", Fixture.text(3, 1)));
            assertThrows(IllegalArgumentException.class, () -> state.adopt(head(1), other));
        }
    }

    @Nested
    class InvalidSignatures {
        private void assertInvalid(Head head) {
            assertEquals(Verdict.INVALID, state.adopt(head, content));
            assertTrue(state.inForce().isEmpty());
        }

        /** Guards against a bundle that a single operator puts in force. */
        @Test
        void authorSignsOwnBundle() {
            assertInvalid(fixture.head(1, content.hash(), Fixture.ANNA, Fixture.ANNA));
        }

        /**
         * Guards against one operator who signs in both roles under two names with the same key.
         */
        @Test
        void sameKeyUnderTwoNames() {
            List<OperatorKey> operators = fixture.operators();
            OperatorKey anna = operators.getFirst();
            OperatorKey twin = new OperatorKey("ben", anna.tokenHash(), anna.publicKey());
            OperatorKeys keys = new OperatorKeys(List.of(anna, twin));
            OperatorSignature first =
                    fixture.sign(
                            Fixture.ANNA, SignatureRole.AUTHOR, 1, content.hash(), Fixture.ANNA);
            OperatorSignature second =
                    fixture.sign(
                            Fixture.ANNA, SignatureRole.SIGNER, 1, content.hash(), Fixture.ANNA);
            Head head =
                    new Head(
                            1,
                            content.hash(),
                            first,
                            new OperatorSignature(Fixture.BEN, second.base64()));
            assertEquals(
                    "author and signer have the same key",
                    keys.validationError(head).orElseThrow());
        }

        /** Guards against adopting a head signed by an operator who is not in the settings. */
        @Test
        void unknownOperator() {
            assertInvalid(fixture.head(1, content.hash(), Fixture.ANNA, Fixture.MALLORY));
            assertInvalid(fixture.head(1, content.hash(), Fixture.MALLORY, Fixture.BEN));
        }

        /**
         * Guards against adopting a head with a missing, forged or malformed signature or with that
         * of another head.
         */
        @Test
        void forgedOrMissing() {
            Head good = head(1);
            for (String base64 : List.of("", "%%%", "AAAA", good.author().base64())) {
                OperatorSignature forged = new OperatorSignature(Fixture.BEN, base64);
                assertInvalid(new Head(1, content.hash(), good.author(), forged));
                assertInvalid(
                        new Head(
                                1,
                                content.hash(),
                                new OperatorSignature(Fixture.ANNA, forged.base64() + "A"),
                                good.signer()));
            }
            assertInvalid(new Head(2, content.hash(), good.author(), good.signer()));
            ContentHash other = ContentHash.of(new byte[1]);
            assertEquals(
                    Verdict.INVALID,
                    state.evaluate(new Head(1, other, good.author(), good.signer())));
        }
    }

    @Nested
    class Stages {
        /** Guards against a proposal that skips a stage or is approved by its author. */
        @Test
        void followEachOther() {
            for (Stage s : Stage.values()) {
                assertFalse(s.next().equals(java.util.Optional.of(s)));
            }
            Proposal draft =
                    Proposal.draft(
                            1,
                            content.hash(),
                            fixture.sign(
                                    Fixture.ANNA,
                                    SignatureRole.AUTHOR,
                                    1,
                                    content.hash(),
                                    Fixture.ANNA));
            assertThrows(RuntimeException.class, () -> draft.advance(event(Stage.SIGNED)));
            Proposal submitted = draft.advance(event(Stage.SUBMITTED));
            assertThrows(RuntimeException.class, () -> submitted.advance(event(Stage.REVIEWED)));
            assertThrows(RuntimeException.class, submitted::head);
        }

        private StageEvent event(Stage stage) {
            return new StageEvent(stage, Fixture.ANNA, java.time.Instant.EPOCH, "attempt");
        }
    }
}
