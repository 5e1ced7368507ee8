package org.godwithoist.routing;

import java.util.Optional;
import org.godwithoist.core.id.ChatId;

/**
 * Looks up and reports the placements of chats. Never fails: a lookup without a response in time
 * returns no placement, and a lost report is not retried.
 */
public interface Placements {
    /** Returns the placement of a chat; empty if it is unknown or not received in time. */
    Optional<Placement> lookup(ChatId chat);

    /** Reports a change without waiting until it is applied. */
    void report(ChatId chat, PlacementChange change);
}
