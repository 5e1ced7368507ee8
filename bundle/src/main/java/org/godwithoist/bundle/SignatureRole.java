package org.godwithoist.bundle;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.godwithoist.core.id.OperatorName;

/**
 * Role in which an operator signs a revision. The signed text contains the role, so that an
 * author's signature cannot be used as a signer's.
 */
public enum SignatureRole {
    /** Proposes the manifest as the revision. */
    AUTHOR,
    /** Approves the proposal of the named author. */
    SIGNER;

    /** Returns the text to sign, encoded in UTF-8. */
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
