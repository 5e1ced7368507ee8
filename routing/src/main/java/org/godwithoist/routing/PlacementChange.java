package org.godwithoist.routing;

import java.util.Optional;
import org.godwithoist.core.id.TargetId;

/**
 * Change of a chat's placement.
 *
 * @param kind type of the change
 * @param target affected target
 * @param tokens tokens of the chat in the target's cache; 0 if not applicable
 * @param run affected request, if any
 */
public record PlacementChange(
        Kind kind, TargetId target, long tokens, Optional<RunningRequest> run) {
    /** Type of a change. */
    public enum Kind {
        /**
         * A request was sent to the target. The cached tokens are kept if the chat was already
         * placed there.
         */
        STARTED {
            @Override
            void apply(PlacementDirectory.Entry e, PlacementChange c, long now) {
                if (!c.target.equals(e.target)) {
                    e.target = c.target;
                    e.cachedTokens = 0;
                }
                e.run = c.run.orElse(null);
                e.lastUsedAt = now;
            }
        },
        /** A request ended and the target has the chat in its cache. */
        FINISHED {
            @Override
            void apply(PlacementDirectory.Entry e, PlacementChange c, long now) {
                boolean outdated = e.run != null && c.run.isPresent() && !c.run.get().equals(e.run);
                if (outdated && e.target != null) {
                    return; // A newer request of the chat has started.
                }
                e.target = c.target;
                e.cachedTokens = c.tokens;
                e.lastUsedAt = now;
            }
        },
        /** Another daemon now serves the caller of the request in progress. */
        CLAIMED {
            @Override
            void apply(PlacementDirectory.Entry e, PlacementChange c, long now) {
                e.target = c.target;
                e.run = c.run.orElse(null);
            }
        },
        /** The cache was copied to the target ahead of the next turn. */
        MOVED {
            @Override
            void apply(PlacementDirectory.Entry e, PlacementChange c, long now) {
                e.target = c.target;
                e.cachedTokens = c.tokens;
                e.lastUsedAt = now;
            }
        },
        /**
         * The target published that it evicted the chat. Events are delayed, so one that arrives
         * shortly after a use refers to the time before it.
         */
        EVICTED {
            @Override
            void apply(PlacementDirectory.Entry e, PlacementChange c, long now) {
                if (c.target.equals(e.target)
                        && now - e.lastUsedAt > PlacementDirectory.EVENT_DELAY_NANOS) {
                    e.cachedTokens = 0;
                }
            }
        };

        abstract void apply(PlacementDirectory.Entry e, PlacementChange c, long now);

        /** Returns whether the change creates an entry for a chat that has none. */
        boolean createsEntry() {
            return this != EVICTED;
        }
    }
}
