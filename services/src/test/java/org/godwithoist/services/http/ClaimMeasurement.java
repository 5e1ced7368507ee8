package org.godwithoist.services.http;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Measures the latency and the store writes of requests with and without a key over loopback; run
 * it with {@code -Dtest=ClaimMeasurement}.
 */
class ClaimMeasurement extends ServiceRoutesTest {
    private static final int REQUESTS = 3_000;
    private static final int WARM_UP_REQUESTS = 1_000;

    @Test
    void claim() {
        for (boolean keyed : new boolean[] {false, true, false, true}) {
            long[] nanos = new long[REQUESTS];
            long writes = fixture().tables().writes();
            for (int i = 0; i < REQUESTS; i++) {
                String key = "k" + System.nanoTime();
                String[] headers = keyed ? new String[] {"Idempotency-Key", key} : new String[0];
                long start = System.nanoTime();
                body(sendRequest(headers));
                nanos[i] = System.nanoTime() - start;
            }
            Arrays.sort(nanos, WARM_UP_REQUESTS, REQUESTS);
            System.out.printf(
                    "keyed=%b p50_us=%d p95_us=%d writes_per_call=%.2f%n",
                    keyed,
                    nanos[(WARM_UP_REQUESTS + REQUESTS) / 2] / 1_000,
                    nanos[REQUESTS - (REQUESTS - WARM_UP_REQUESTS) / 20] / 1_000,
                    (fixture().tables().writes() - writes) / (double) REQUESTS);
        }
    }
}
