package org.godwithoist.targets;

import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.TargetId;

/** Where the prefix of a prompt is cached, and where it maps to. */
final class CachedPrompt {
    private CachedPrompt() {}

    /** Returns the hash of an id; the factor spreads its 32 bits over 64. */
    static long rendezvousHash(TargetId id) {
        return id.value().hashCode() * 0x9e3779b97f4a7c15L;
    }

    static long rendezvousWeight(PrefixKey key, Target target) {
        return key.weight(target.rendezvousHash());
    }

    /** Returns the tokens of the prompt that a target does not have cached. */
    static long uncachedTokens(PlacementRequest request, Target target, long now) {
        boolean cached =
                request.prefix().isPresent()
                        && target.hasCachedPrefix(request.prefix().get().key(), now);
        return request.promptTokens() - (cached ? request.sharedTokens() : 0);
    }

    /**
     * Returns the engine from which the chosen one can import the prompt prefix: of the engines
     * known to have it cached, the one that used it last. If none is known, it is the engine that
     * the prefix maps to; an engine that was listed a short time ago has cached few prefixes and is
     * not considered.
     */
    static Optional<Target> cachingEngine(
            PlacementRequest request, Target chosen, List<Target> targets, long now) {
        if (request.prefix().isEmpty()) {
            return Optional.empty();
        }
        PrefixKey key = request.prefix().get().key();
        if (chosen.hasCachedPrefix(key, now)) {
            return Optional.empty();
        }
        Optional<Target> lastUser = mostRecentUser(key, chosen, targets, now);
        return lastUser.isPresent() ? lastUser : preferredEngine(key, chosen, targets, now);
    }

    /** Returns the engine that used the prefix last, of those known to have it cached. */
    private static Optional<Target> mostRecentUser(
            PrefixKey key, Target chosen, List<Target> engines, long now) {
        Optional<Target> last = Optional.empty();
        long lastUse = 0;
        for (Target t : engines) {
            Optional<Long> use = t.lastUse(key, now);
            boolean isLater = use.isPresent() && (last.isEmpty() || use.get() - lastUse > 0);
            if (isLater && isAvailable(t, chosen)) {
                last = Optional.of(t);
                lastUse = use.get();
            }
        }
        return last;
    }

    /** Returns the engine that the prefix maps to, if it is not the chosen one. */
    private static Optional<Target> preferredEngine(
            PrefixKey key, Target chosen, List<Target> engines, long now) {
        Optional<Target> preferred = Optional.empty();
        long highest =
                chosen.prefixCacheFilled(now) ? rendezvousWeight(key, chosen) : Long.MIN_VALUE;
        for (Target t : engines) {
            long weight = rendezvousWeight(key, t);
            if (weight > highest && t.prefixCacheFilled(now) && isAvailable(t, chosen)) {
                preferred = Optional.of(t);
                highest = weight;
            }
        }
        return preferred;
    }

    private static boolean isAvailable(Target engine, Target chosen) {
        return engine != chosen && engine.health() != HealthState.RESTING;
    }
}
