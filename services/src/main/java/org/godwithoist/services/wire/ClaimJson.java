package org.godwithoist.services.wire;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.services.Claim;
import org.godwithoist.services.ClaimKey;
import org.godwithoist.services.ClaimState;
import org.godwithoist.services.Header;
import org.godwithoist.services.RequestHash;
import org.godwithoist.services.ResponseHead;
import org.godwithoist.services.StoredResponse;

/** Encodes the keys and values of rows in table {@code claim}. */
final class ClaimJson {
    private ClaimJson() {}

    // ---- keys

    static String key(ClaimKey key) {
        return prefix(key.workspace())
                + escape(key.service().value())
                + "/"
                + escape(key.key().value());
    }

    static String prefix(WorkspaceId workspace) {
        return escape(workspace.value()) + "/";
    }

    private static String escape(String part) {
        return part.replace("%", "%25").replace("/", "%2F");
    }

    // ---- claims

    /** Encodes a claim; a long response body is replaced by the key of its object. */
    static String encode(Claim c, Optional<String> objectKey) {
        JsonObject o =
                new JsonObject()
                        .put("attempt", c.attempt().value())
                        .put("hash", c.hash().value())
                        .put("state", c.state().name().toLowerCase(Locale.ROOT))
                        .put("holder", c.holder().value())
                        .put("incarnation", c.incarnation())
                        .put("created_ms", c.createdAt().toEpochMilli());
        c.response().ifPresent(r -> o.put("answer", encodeResponse(r, objectKey)));
        return o.encode();
    }

    static Claim decode(String text) {
        JsonObject o = new JsonObject(text);
        return new Claim(
                new RequestId(o.getString("attempt")),
                new RequestHash(o.getString("hash")),
                ClaimState.valueOf(o.getString("state").toUpperCase(Locale.ROOT)),
                new HostId(o.getString("holder")),
                o.getLong("incarnation"),
                Instant.ofEpochMilli(o.getLong("created_ms")),
                Optional.ofNullable(o.getJsonObject("answer")).map(ClaimJson::decodeResponse));
    }

    // ---- responses

    private static JsonObject encodeResponse(StoredResponse r, Optional<String> objectKey) {
        JsonArray headers = new JsonArray();
        r.head().headers().forEach(h -> headers.add(new JsonArray().add(h.name()).add(h.value())));
        byte[] content =
                objectKey
                        .map(k -> k.getBytes(StandardCharsets.UTF_8))
                        .or(() -> r.content().map(StoredResponse.Content::bytes))
                        .orElse(new byte[0]);
        return new JsonObject()
                .put("status", r.head().status())
                .put("headers", headers)
                .put("place", r.place().name().toLowerCase(Locale.ROOT))
                .put("content", Base64.getEncoder().encodeToString(content));
    }

    private static StoredResponse decodeResponse(JsonObject o) {
        List<Header> headers = new ArrayList<>();
        for (Object item : o.getJsonArray("headers")) {
            JsonArray pair = (JsonArray) item;
            headers.add(new Header(pair.getString(0), pair.getString(1)));
        }
        byte[] content = Base64.getDecoder().decode(o.getString("content"));
        return new StoredResponse(
                new ResponseHead(o.getInteger("status"), headers),
                StoredResponse.Place.valueOf(o.getString("place").toUpperCase(Locale.ROOT)),
                Optional.of(new StoredResponse.Content(content)));
    }

    /**
     * Returns the key of the object that holds the body of a decoded response in the object store.
     */
    static String objectKey(StoredResponse response) {
        return new String(response.content().orElseThrow().bytes(), StandardCharsets.UTF_8);
    }
}
