package org.godwithoist.targets;

import java.util.Optional;

/** Receives what this daemon learns about the limits of targets. */
public interface LimitObserver {
    /** Observer that does nothing. */
    LimitObserver NONE =
            new LimitObserver() {
                @Override
                public void rateLimitChanged(
                        Target target, Optional<RateLimit> limit, LimitSource source) {}

                @Override
                public void rateUnusable(Target target, String value) {}

                @Override
                public void rejectionLimitChanged(
                        Target target, Optional<RejectionLimit> limit, LimitSource source) {}

                @Override
                public void rejectionLimitUnusable(Target target, String value) {}
            };

    /**
     * Reports that a rate limit has begun, changed or ended.
     *
     * @param limit the limit in force; empty if it has ended
     */
    void rateLimitChanged(Target target, Optional<RateLimit> limit, LimitSource source);

    /** Reports, once for each target, a value that is no rate limit. */
    void rateUnusable(Target target, String value);

    /**
     * Reports that a rejection limit has begun, changed or ended.
     *
     * @param limit the limit in force; empty if it has ended
     */
    void rejectionLimitChanged(Target target, Optional<RejectionLimit> limit, LimitSource source);

    /** Reports, once for each target, a value that is no rejection limit. */
    void rejectionLimitUnusable(Target target, String value);
}
