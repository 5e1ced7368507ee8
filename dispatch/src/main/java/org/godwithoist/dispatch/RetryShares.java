package org.godwithoist.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.RetryShare;

/** This daemon's share of the retry budget of each service. Thread-safe. */
public final class RetryShares {
    private final Ticker ticker;
    private final Supplier<RetryShare.Budget> budget;
    private final Map<ServiceId, RetryShare> byService = new ConcurrentHashMap<>();

    /** Creates shares without any retries used; all services have the same budget. */
    public RetryShares(Ticker ticker, Supplier<RetryShare.Budget> budget) {
        this.ticker = ticker;
        this.budget = budget;
    }

    RetryShare of(ServiceId service) {
        return byService.computeIfAbsent(service, s -> new RetryShare(ticker, budget));
    }
}
