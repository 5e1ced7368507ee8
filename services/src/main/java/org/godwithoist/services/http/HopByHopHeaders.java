package org.godwithoist.services.http;

import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.godwithoist.services.Header;

/** Selects the headers that are forwarded. */
final class HopByHopHeaders {
    /** Headers of one connection (RFC 9110, section 7.6.1). */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private HopByHopHeaders() {}

    /**
     * Returns the headers without those of the connection.
     *
     * @param omitted lower-case names of further headers to omit
     */
    static List<Header> strip(MultiMap headers, Set<String> omitted) {
        Set<String> dropped = new HashSet<>(CONNECTION_HEADERS);
        dropped.addAll(omitted);
        for (String value : headers.getAll("Connection")) {
            for (String name : value.split(",", -1)) {
                dropped.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        List<Header> forwarded = new ArrayList<>();
        for (Map.Entry<String, String> e : headers) {
            if (!dropped.contains(e.getKey().toLowerCase(Locale.ROOT))) {
                forwarded.add(new Header(e.getKey(), e.getValue()));
            }
        }
        return forwarded;
    }
}
