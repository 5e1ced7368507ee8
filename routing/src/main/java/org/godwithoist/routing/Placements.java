package org.godwithoist.routing;

import java.util.Optional;
import org.godwithoist.core.id.ChatId;

/** Looks up and reports where chats are placed. Never fails: an answer that is late is no hint. */
public interface Placements {
    /** Returns the placement of a chat, or empty if it is not known in time. */
    Optional<Placement> lookup(ChatId chat);

    /** Reports a change; does not wait until it is applied. */
    void report(ChatId chat, PlacementChange change);
}
