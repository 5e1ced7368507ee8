package org.godwithoist.bundle;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.godwithoist.core.id.OperatorName;

/**
 * What an operator states with a signature. The role stands in the signed text, so that an author's
 * signature cannot pass as the signer's.
 */
public enum SignatureRole {
    /** The operator proposes the manifest as the revision. */
    AUTHOR,
    /** The operator approves it, knowing who proposed it. */
    SIGNER;

    /** Returns the signed text of a revision. */
    public byte[] statement(long revision, ContentHash manifest, OperatorName author) {
        String text =
                "godwithoist bundle "
                        + name().toLowerCase(Locale.ROOT)
                        + "\nrevision "
                        + revision
                        + "\nmanifest "
                        + manifest
                        + "\nauthor "
                        + author
                        + "\n";
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
