package org.godwithoist.targets;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;

/**
 * A request that needs a target.
 *
 * @param service service that handles the request
 * @param prefix prompt prefix; empty for requests without a prompt
 * @param tried targets of earlier attempts of the request
 * @param outOfService failure domains whose targets get no new requests
 * @param share this daemon's share of the limits of the fleet
 * @param tokens size of the request; empty if it is unknown
 * @param versions versions of the service to which the request may be sent
 * @param objective time within which the caller needs the first event; empty if it is unknown
 */
public record PlacementRequest(
        ServiceSpec service,
        Optional<PromptPrefix> prefix,
        Set<TargetId> tried,
        Set<FailureDomainId> outOfService,
        FleetShare share,
        Optional<TokenUsage> tokens,
        VersionFilter versions,
        Optional<Duration> objective) {
    /** Creates a request of unknown size and objective that may be sent to all versions. */
    public PlacementRequest(
            ServiceSpec service,
            Optional<PromptPrefix> prefix,
            Set<TargetId> tried,
            Set<FailureDomainId> outOfService,
            FleetShare share) {
        this(
                service,
                prefix,
                tried,
                outOfService,
                share,
                Optional.empty(),
                VersionFilter.ALL,
                Optional.empty());
    }

    /** Returns this request with other versions to which it may be sent. */
    public PlacementRequest with(VersionFilter permitted) {
        return new PlacementRequest(
                service, prefix, tried, outOfService, share, tokens, permitted, objective);
    }

    /** Returns whether the operators and the target itself permit new requests to a target. */
    boolean permits(Target target) {
        TargetEntry entry = target.entry();
        return !target.isGoingAway()
                && !outOfService.contains(entry.domain())
                && versions.permits(entry.version());
    }

    /** Returns the length of the prompt, in tokens; only its shared part if the rest is unknown. */
    long promptTokens() {
        return Math.max(sharedTokens(), tokens.map(TokenUsage::prompt).orElse(0));
    }

    /** Returns the length of the part of the prompt that other prompts share, in tokens. */
    long sharedTokens() {
        return prefix.map(PromptPrefix::tokens).orElse(0);
    }

    /** Returns the estimated output tokens; 0 if the size is unknown. */
    long expectedOutputTokens() {
        return tokens.map(TokenUsage::expectedOutput).orElse(0);
    }

    /** Returns the tokens for which the request needs memory until it ends. */
    long heldTokens() {
        return promptTokens() + expectedOutputTokens();
    }
}
