package org.godwithoist.acceptance.faults;

import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;

/**
 * One response to {@code GET /v1/usage}.
 *
 * @param settled settled usage of each workspace
 * @param openAttempts number of attempts without a known count, summed over all workspaces
 * @param unsettledRequests number of counted but unsettled requests, summed over all workspaces
 * @param text response body, for assertion messages
 */
record UsageSnapshot(
        Map<String, Count> settled, long openAttempts, long unsettledRequests, String text) {
    /**
     * Usage of a workspace.
     *
     * @param requests requests that engines ran
     * @param promptTokens prompt tokens
     * @param completionTokens generated tokens
     */
    record Count(long requests, long promptTokens, long completionTokens) {
        /** Returns whether any figure is larger than the corresponding figure of another count. */
        boolean exceeds(Count other) {
            return requests > other.requests
                    || promptTokens > other.promptTokens
                    || completionTokens > other.completionTokens;
        }
    }

    static UsageSnapshot of(JsonObject body) {
        Map<String, Count> settled = new TreeMap<>();
        long openAttempts = 0;
        long unsettled = 0;
        for (Object o : body.getJsonArray("workspaces")) {
            JsonObject w = (JsonObject) o;
            JsonObject s = w.getJsonObject("settled");
            settled.put(
                    w.getString("workspace"),
                    new Count(
                            s.getLong("requests"),
                            s.getLong("prompt_tokens"),
                            s.getLong("completion_tokens")));
            openAttempts += w.getJsonObject("unsettled").getLong("open_attempts");
            unsettled += w.getJsonObject("unsettled").getLong("requests");
        }
        return new UsageSnapshot(settled, openAttempts, unsettled, body.encode());
    }
}
