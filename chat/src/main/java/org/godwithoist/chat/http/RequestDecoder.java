package org.godwithoist.chat.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Workspace;
import org.godwithoist.chat.ChatRequest;
import org.godwithoist.core.Priority;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;

/**
 * Decodes and validates callers' requests. Each validation error is a {@code bad_request} that
 * names the field.
 */
final class RequestDecoder {
    private static final String BEARER = "Bearer ";
    private static final int BYTES_PER_TOKEN = 4;
    private static final int MAX_INTEGER_DIGITS = 15;

    /** A decoded value takes many times the memory of its text if that is short. */
    private static final int MAX_JSON_TOKENS = 100_000;

    /** Reads what {@link JsonObject} reads, which permits comments. */
    private static final JsonFactory LIMITED_JSON =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxTokenCount(MAX_JSON_TOKENS).build())
                    .build();

    private volatile KeyIndex currentIndex = new KeyIndex(null, Map.of());

    /** The workspaces of a bundle by the hash of their keys. */
    private record KeyIndex(Bundle bundle, Map<String, Workspace> workspaces) {}

    /**
     * A decoded request.
     *
     * @param request the request, independent of its encoding
     * @param stream whether the caller requested a stream of events
     * @param includeUsage whether the stream must contain the usage
     */
    record DecodedRequest(ChatRequest request, boolean stream, boolean includeUsage) {}

    /** Returns the workspace that owns the caller's API key. */
    Workspace authenticate(MultiMap headers, Bundle bundle) {
        String header = headers.get("Authorization");
        if (header == null || !header.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            throw RequestException.notRun(
                    ErrorCode.UNAUTHENTICATED, "the Authorization header has no bearer key");
        }
        Workspace found =
                workspacesByKeyHash(bundle).get(sha256(header.substring(BEARER.length()).strip()));
        if (found == null) {
            throw RequestException.notRun(ErrorCode.UNAUTHENTICATED, "the key is not known");
        }
        return found;
    }

    DecodedRequest decode(
            RequestId id, MultiMap headers, Buffer body, Workspace workspace, Bundle bundle) {
        JsonObject json = parse(body);
        String model = string(json, "model");
        JsonArray messages = messages(json);
        boolean stream = bool(json, "stream");
        boolean includeUsage = bool(object(json, "stream_options"), "include_usage");
        if (number(json, "n", 1) != 1) {
            throw badRequest("n must be 1");
        }
        number(json, "max_tokens", 1);
        number(json, "max_completion_tokens", 1);
        number(json, "temperature", 1);
        number(json, "top_p", 1);
        if (json.containsKey("continue_from")) {
            throw badRequest("continue_from is reserved");
        }
        Priority priority = priority(headers, workspace);
        Duration limit = bundle.serviceLevels().get(priority).deadline();
        Duration deadline =
                integerHeader(headers, "X-Deadline-Ms")
                        .map(Duration::ofMillis)
                        .filter(d -> d.compareTo(limit) < 0)
                        .orElse(limit);
        Optional<Long> resumeAfter = integerHeader(headers, "Last-Event-ID");
        if (resumeAfter.isPresent() && headers.get("X-Request-Id") == null) {
            throw badRequest("Last-Event-ID needs the X-Request-Id of the request to resume");
        }
        ChatRequest request =
                new ChatRequest(
                        id,
                        workspace.id(),
                        chatId(headers, workspace, messages),
                        id("model", model, ModelId::new),
                        priority,
                        Deadline.after(deadline, Ticker.SYSTEM),
                        body.length() / BYTES_PER_TOKEN,
                        json.encode(),
                        resumeAfter);
        return new DecodedRequest(request, stream, includeUsage);
    }

    /** Parses the caller's request id; empty if there is none. */
    static Optional<RequestId> requestId(MultiMap headers) {
        return Optional.ofNullable(headers.get("X-Request-Id"))
                .map(v -> id("X-Request-Id", v, RequestId::new));
    }

    // ---- parts of a request

    private static JsonObject parse(Buffer body) {
        if (body == null || body.length() == 0) {
            throw badRequest("the body is empty");
        }
        checkNumberOfTokens(body);
        try {
            return new JsonObject(body);
        } catch (DecodeException | ClassCastException e) {
            throw badRequest("the body is not a JSON object").withCause(e);
        }
    }

    /** Finds out whether a body has too many values, before they take memory. */
    private static void checkNumberOfTokens(Buffer body) {
        try (JsonParser parser = LIMITED_JSON.createParser(body.getBytes())) {
            JsonToken token = parser.nextToken();
            while (token != null) {
                token = parser.nextToken();
            }
        } catch (StreamConstraintsException e) {
            throw badRequest(
                            "the body has more than "
                                    + MAX_JSON_TOKENS
                                    + " JSON tokens, or nests them too deeply")
                    .withCause(e);
        } catch (IOException e) {
            throw badRequest("the body is not a JSON object").withCause(e);
        }
    }

    private static JsonArray messages(JsonObject json) {
        if (!(json.getValue("messages") instanceof JsonArray messages) || messages.isEmpty()) {
            throw badRequest("messages must be a list with at least one message");
        }
        for (int i = 0; i < messages.size(); i++) {
            if (!(messages.getValue(i) instanceof JsonObject m)
                    || !(m.getValue("role") instanceof String)) {
                throw badRequest("messages[" + i + "] must be an object with a role");
            }
            Object content = m.getValue("content");
            boolean known =
                    content == null || content instanceof String || content instanceof JsonArray;
            if (!known) {
                throw badRequest(
                        "messages[" + i + "].content must be a string or an array of parts");
            }
        }
        return messages;
    }

    private static Priority priority(MultiMap headers, Workspace workspace) {
        String header = headers.get("X-Priority");
        Priority requested =
                header == null
                        ? Priority.INTERACTIVE
                        : Priority.fromWireName(header)
                                .orElseThrow(
                                        () ->
                                                badRequest(
                                                        "X-Priority must be urgent, interactive or"
                                                                + " background"));
        return requested.precedes(workspace.maxPriority()) ? workspace.maxPriority() : requested;
    }

    /**
     * Returns the id of the chat. It begins with the workspace, so that equal chat ids of two
     * workspaces are two chats. Without a header it is a hash of the messages up to the first user
     * message, which stay the same in all turns.
     */
    private static ChatId chatId(MultiMap headers, Workspace workspace, JsonArray messages) {
        String given = headers.get("X-Chat-Id");
        String chat = given == null ? hash(workspace, messagesUpToFirstUser(messages)) : given;
        String full = workspace.id() + "/" + chat;
        return full.length() <= ChatId.MAX_LENGTH
                ? id("X-Chat-Id", full, ChatId::new)
                : new ChatId(hash(workspace, chat));
    }

    private static String messagesUpToFirstUser(JsonArray messages) {
        StringBuilder builder = new StringBuilder();
        for (int i = 0; i < messages.size(); i++) {
            builder.append(messages.getJsonObject(i).encode());
            if ("user".equals(messages.getJsonObject(i).getString("role"))) {
                break;
            }
        }
        return builder.toString();
    }

    private static String hash(Workspace workspace, String text) {
        return sha256(workspace.id() + "\n" + text).substring(0, 32);
    }

    // ---- single values

    private static String string(JsonObject o, String name) {
        if (o.getValue(name) instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw badRequest(name + " must be a non-empty string");
    }

    private static boolean bool(JsonObject o, String name) {
        Object value = o.getValue(name);
        if (value == null) {
            return false;
        }
        if (value instanceof Boolean b) {
            return b;
        }
        throw badRequest(name + " must be a boolean");
    }

    private static double number(JsonObject o, String name, double defaultValue) {
        Object value = o.getValue(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number n) {
            return n.doubleValue();
        }
        throw badRequest(name + " must be a number");
    }

    private static JsonObject object(JsonObject o, String name) {
        Object value = o.getValue(name);
        if (value == null) {
            return new JsonObject();
        }
        if (value instanceof JsonObject found) {
            return found;
        }
        throw badRequest(name + " must be an object");
    }

    private static Optional<Long> integerHeader(MultiMap headers, String name) {
        String value = headers.get(name);
        if (value == null) {
            return Optional.empty();
        }
        boolean digits = !value.isEmpty() && value.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!digits || value.length() > MAX_INTEGER_DIGITS) {
            throw badRequest(name + " must be a non-negative integer");
        }
        return Optional.of(Long.parseLong(value));
    }

    private interface IdType<T> {
        T of(String value);
    }

    private static <T> T id(String field, String value, IdType<T> type) {
        try {
            return type.of(value);
        } catch (IllegalArgumentException e) {
            throw badRequest(field + " is not valid: " + e.getMessage()).withCause(e);
        }
    }

    private static RequestException badRequest(String message) {
        return RequestException.notRun(ErrorCode.BAD_REQUEST, message);
    }

    // Bundles are immutable, so the same instance has the same keys.
    @SuppressWarnings("ReferenceEquality")
    private Map<String, Workspace> workspacesByKeyHash(Bundle bundle) {
        KeyIndex index = currentIndex;
        if (index.bundle() != bundle) {
            Map<String, Workspace> map = new HashMap<>();
            for (Workspace w : bundle.workspaces().values()) {
                w.keyHashes().forEach(h -> map.put(h, w));
            }
            index = new KeyIndex(bundle, map);
            currentIndex = index;
        }
        return index.workspaces();
    }

    private static String sha256(String text) {
        try {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
