package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.catalog.ApiKey;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.time.Durations;
import org.godwithoist.targets.PromptPartId;
import org.godwithoist.targets.PromptPrefix;
import org.godwithoist.targets.TokenUsage;

/**
 * A caller's request without its body.
 *
 * @param id id of this attempt of the caller
 * @param method HTTP method, forwarded unchanged
 * @param uri path and query, forwarded unchanged
 * @param host value of the Host header field
 * @param callerTimeout time for which the caller waits; empty if it is not specified
 * @param key API key of the caller's workspace; empty if there is none
 * @param prefix prompt prefix; empty for requests without a prompt
 * @param tokens size of a request to an engine; empty if it is unknown
 * @param resumeAfter id of the last event that the caller received in an earlier attempt; empty for
 *     a new stream
 * @param resumes id of the caller's attempt that brought the first event of the stream which the
 *     request goes on with; empty for a new stream
 * @param fields header fields to forward to the target
 */
public record RequestHead(
        RequestId id,
        String method,
        String uri,
        String host,
        Optional<Duration> callerTimeout,
        Optional<ApiKey> key,
        Optional<PromptPrefix> prefix,
        Optional<TokenUsage> tokens,
        OptionalLong resumeAfter,
        Optional<RequestId> resumes,
        List<HeaderField> fields) {
    /**
     * Returns the parts that the prompt shares with others; empty for requests without a prompt.
     */
    public List<PromptPartId> sharedParts() {
        return prefix.map(PromptPrefix::parts).orElse(List.of());
    }

    /** Returns the shorter of the caller's timeout and the given one of the route. */
    Duration timeLimit(Duration routeTimeout) {
        return Durations.min(callerTimeout.orElse(routeTimeout), routeTimeout);
    }

    /** Returns the path without the query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
