package org.godwithoist.core.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads and validates the fields of one JSON object. A validation error is added to the findings
 * with its location and the field gets a default value, so that one pass reports all errors. {@link
 * #finish()} reports unknown fields. Not thread-safe.
 */
public final class ObjectReader {
    private final JsonDocument document;
    private final String path;
    private final JsonNode node;
    private final Findings findings;
    private final Set<String> known = new HashSet<>();

    private ObjectReader(JsonDocument document, String path, JsonNode node, Findings findings) {
        this.document = document;
        this.path = path;
        this.node = node;
        this.findings = findings;
    }

    /** Returns a reader of the root object; reports an error if the root is not an object. */
    public static ObjectReader root(JsonDocument document, Findings findings) {
        return of(document, "", document.root(), findings);
    }

    private static ObjectReader of(
            JsonDocument document, String path, JsonNode node, Findings findings) {
        if (!node.isObject()) {
            findings.add(document.place(path), "must be an object");
            return new ObjectReader(
                    document, path, JsonNodeFactory.instance.objectNode(), findings);
        }
        return new ObjectReader(document, path, node, findings);
    }

    // ---- scalars

    /**
     * Reads a required string and converts it.
     *
     * @param constructor throws {@link IllegalArgumentException} to reject the string; its message
     *     becomes the finding
     * @return empty after a validation error
     */
    public <T> Optional<T> required(String name, Function<String, T> constructor) {
        Optional<JsonNode> value = take(name);
        if (value.isEmpty()) {
            add(name, "is missing");
            return Optional.empty();
        }
        return text(name, value.get(), constructor);
    }

    /**
     * Reads an optional string and converts it.
     *
     * @param constructor throws {@link IllegalArgumentException} to reject the string; its message
     *     becomes the finding
     * @return empty if the field is missing, null or invalid
     */
    public <T> Optional<T> optional(String name, Function<String, T> constructor) {
        return take(name).flatMap(v -> text(name, v, constructor));
    }

    /** Reads a required string; returns an empty string after a validation error. */
    public String text(String name) {
        return required(name, Function.identity()).orElse("");
    }

    /**
     * Reads an integer from {@code min} to {@code max}; returns the default if the field is missing
     * or invalid.
     */
    public int integer(String name, int min, int max, int otherwise) {
        return (int) whole(name, min, max, otherwise);
    }

    /**
     * Reads an integer from {@code min} to {@code max}; returns the default if the field is missing
     * or invalid.
     */
    public long whole(String name, long min, long max, long otherwise) {
        Optional<JsonNode> value = take(name);
        if (value.isEmpty()) {
            return otherwise;
        }
        JsonNode v = value.get();
        if (!v.isIntegralNumber() || v.asLong() < min || v.asLong() > max) {
            add(name, "must be a whole number from " + min + " to " + max + ", not " + v);
            return otherwise;
        }
        return v.asLong();
    }

    /**
     * Reads a number from {@code min} to {@code max}; returns the default if the field is missing
     * or invalid.
     */
    public double number(String name, double min, double max, double otherwise) {
        Optional<JsonNode> value = take(name);
        if (value.isEmpty()) {
            return otherwise;
        }
        JsonNode v = value.get();
        if (!v.isNumber() || v.asDouble() < min || v.asDouble() > max) {
            add(name, "must be a number from " + min + " to " + max + ", not " + v);
            return otherwise;
        }
        return v.asDouble();
    }

    /** Reads a boolean; returns the default if the field is missing or invalid. */
    public boolean flag(String name, boolean otherwise) {
        Optional<JsonNode> value = take(name);
        if (value.isEmpty()) {
            return otherwise;
        }
        if (!value.get().isBoolean()) {
            add(name, "must be true or false, not " + value.get());
            return otherwise;
        }
        return value.get().asBoolean();
    }

    /**
     * Reads a duration in milliseconds; the field name should end in {@code Ms}. All parameters are
     * in milliseconds.
     */
    public Duration millis(String name, long min, long max, long otherwise) {
        return Duration.ofMillis(whole(name, min, max, otherwise));
    }

    // ---- structure

    /** Reads a required object; returns a reader without fields after a validation error. */
    public ObjectReader object(String name) {
        Optional<JsonNode> value = take(name);
        if (value.isEmpty()) {
            add(name, "is missing");
        }
        JsonNode v = value.orElseGet(JsonNodeFactory.instance::objectNode);
        return of(document, pointer(name), v, findings);
    }

    /** Reads an optional object; empty if the field is missing or null. */
    public Optional<ObjectReader> optionalObject(String name) {
        return take(name).map(v -> of(document, pointer(name), v, findings));
    }

    /** Reads an array of objects; empty if the field is missing. */
    public List<ObjectReader> objects(String name) {
        List<ObjectReader> list = new ArrayList<>();
        elements(name, (pointer, v) -> list.add(of(document, pointer, v, findings)));
        return list;
    }

    /**
     * Reads an array of strings and converts each. Invalid elements are reported and left out.
     *
     * @param constructor throws {@link IllegalArgumentException} to reject a string
     * @return empty if the field is missing
     */
    public <T> List<T> texts(String name, Function<String, T> constructor) {
        List<T> list = new ArrayList<>();
        elements(
                name,
                (pointer, v) -> {
                    if (!v.isTextual()) {
                        findings.add(document.place(pointer), "must be a text, not " + v);
                        return;
                    }
                    try {
                        list.add(constructor.apply(v.asText()));
                    } catch (IllegalArgumentException e) {
                        findings.add(document.place(pointer), e.getMessage());
                    }
                });
        return list;
    }

    /** Returns the names of all fields, for objects used as maps, and marks them as known. */
    public List<String> names() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        known.addAll(names);
        return names;
    }

    /** Reports each field that has not been read as unknown. */
    public void finish() {
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!known.contains(name)) {
                                add(name, "is not a known field");
                            }
                        });
    }

    // ---- findings

    /** Adds a finding at a field, which may be missing. */
    public void add(String name, String message) {
        findings.add(document.place(pointer(name)), message);
    }

    /** Returns the location of this object. */
    public Place place() {
        return document.place(path);
    }

    /** Returns the location of a field; of this object if the field is missing. */
    public Place place(String name) {
        return document.place(pointer(name));
    }

    private interface ElementVisitor {
        void visit(String pointer, JsonNode value);
    }

    private void elements(String name, ElementVisitor visitor) {
        Optional<JsonNode> value = take(name);
        if (value.isEmpty()) {
            return;
        }
        if (!value.get().isArray()) {
            add(name, "must be a list");
            return;
        }
        int i = 0;
        for (JsonNode v : value.get()) {
            visitor.visit(pointer(name) + "/" + i, v);
            i++;
        }
    }

    private <T> Optional<T> text(String name, JsonNode v, Function<String, T> constructor) {
        if (!v.isTextual()) {
            add(name, "must be a text, not " + v);
            return Optional.empty();
        }
        try {
            return Optional.of(constructor.apply(v.asText()));
        } catch (IllegalArgumentException e) {
            add(name, e.getMessage());
            return Optional.empty();
        }
    }

    private Optional<JsonNode> take(String name) {
        known.add(name);
        JsonNode v = node.get(name);
        return v == null || v.isNull() ? Optional.empty() : Optional.of(v);
    }

    private String pointer(String name) {
        return path + "/" + name.replace("~", "~0").replace("/", "~1");
    }
}
