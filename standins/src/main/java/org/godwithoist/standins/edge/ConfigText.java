package org.godwithoist.standins.edge;

/** Configurations in the form that an operator writes, with one route of each kind of request. */
public final class ConfigText {
    /** Host name of all routes. */
    public static final String HOST = "shop.example";

    /** API key of the tenant {@code jeweller}. */
    public static final String API_KEY = "key-of-jeweller";

    /** Limit of the body of a request, in bytes. */
    public static final int MAX_BODY_BYTES = 100_000;

    /** Prefix of the streaming route whose responses may be resumed. */
    public static final String RESUMABLE = "/estimate/";

    /** Prefix of the streaming route whose requests run at most once. */
    public static final String NON_RESUMABLE = "/reply/";

    /** Prefix of the route for non-idempotent requests, which run at most once. */
    public static final String BOOKING = "/book/";

    /** Prefix of the route for idempotent requests, which may be retried. */
    public static final String STATUS = "/status/";

    private ConfigText() {}

    /**
     * Returns a configuration as JSON.
     *
     * @param version version of the configuration
     * @param streamTimeoutMs timeout of the streaming routes in milliseconds
     */
    public static String of(long version, long streamTimeoutMs) {
        return of(version, streamTimeoutMs, MAX_BODY_BYTES);
    }

    /**
     * Returns a configuration as JSON.
     *
     * @param version version of the configuration
     * @param streamTimeoutMs timeout of the streaming routes in milliseconds
     * @param maxBodyBytes limit of the body of a request, in bytes
     */
    public static String of(long version, long streamTimeoutMs, int maxBodyBytes) {
        String timeout = "\"timeoutMs\":" + streamTimeoutMs;
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + route("est", RESUMABLE, "streaming", timeout, "models", 2, true)
                + ","
                + route("rep", NON_RESUMABLE, "streaming", timeout, "models", 1, false)
                + ","
                + route("book", BOOKING, "non_idempotent", "\"timeoutMs\":3000", "desk", 1, false)
                + ","
                + route("stat", STATUS, "idempotent", "\"timeoutMs\":3000", "desk", 2, false)
                + "],\"services\":["
                + "{\"name\":\"models\",\"healthPath\":\"/health\",\"connectionLimit\":100,"
                + "\"coldStartS\":3.0,\"coldPerS\":13.0,"
                + "\"engine\":{\"slots\":8,\"kvCapacity\":400000}},"
                + "{\"name\":\"desk\",\"healthPath\":\"/health\",\"connectionLimit\":100,"
                + "\"coldStartS\":0.0,\"coldPerS\":0.0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
                + maxBodyBytes
                + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"jeweller\",\"apiKeys\":[\""
                + API_KEY
                + "\"],"
                + "\"priority\":1}]}";
    }

    private static String route(
            String name,
            String prefix,
            String kind,
            String timeout,
            String service,
            int attempts,
            boolean resumable) {
        return "{\"name\":\""
                + name
                + "\",\"host\":\""
                + HOST
                + "\",\"prefix\":\""
                + prefix
                + "\",\"routeKind\":\""
                + kind
                + "\","
                + timeout
                + ",\"targetLatencyMs\":400,\"priority\":1,\"service\":\""
                + service
                + "\",\"maxAttempts\":"
                + attempts
                + ",\"public\":false,\"stickySessions\":"
                + kind.equals("streaming")
                + ",\"resumable\":"
                + resumable
                + ",\"gapTargetMs\":200}";
    }
}
