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
 * #reportUnknownFields()} reports unknown fields. Not thread-safe.
 */
public final class ObjectReader {
    private final JsonDocument document;
    private final String path;
    private final JsonNode node;
    private final Findings findings;
    private final Set<String> knownFields = new HashSet<>();

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
            findings.add(document.location(path), "must be an object");
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
        Optional<JsonNode> value = readField(name);
        if (value.isEmpty()) {
            addFinding(name, "is missing");
            return Optional.empty();
        }
        return string(name, value.get(), constructor);
    }

    /**
     * Reads an optional string and converts it.
     *
     * @param constructor throws {@link IllegalArgumentException} to reject the string; its message
     *     becomes the finding
     * @return empty if the field is missing, null or invalid
     */
    public <T> Optional<T> optional(String name, Function<String, T> constructor) {
        return readField(name).flatMap(v -> string(name, v, constructor));
    }

    /** Reads a required string; returns an empty string after a validation error. */
    public String string(String name) {
        return required(name, Function.identity()).orElse("");
    }

    /**
     * Reads an integer from {@code min} to {@code max}; returns the default if the field is missing
     * or invalid.
     */
    public int integer(String name, int min, int max, int defaultValue) {
        return (int) longInteger(name, min, max, defaultValue);
    }

    /**
     * Reads an integer from {@code min} to {@code max}; returns the default if the field is missing
     * or invalid.
     */
    public long longInteger(String name, long min, long max, long defaultValue) {
        Optional<JsonNode> value = readField(name);
        if (value.isEmpty()) {
            return defaultValue;
        }
        JsonNode v = value.get();
        if (!v.isIntegralNumber() || v.asLong() < min || v.asLong() > max) {
            addFinding(name, "must be an integer from " + min + " to " + max + ", not " + v);
            return defaultValue;
        }
        return v.asLong();
    }

    /**
     * Reads a number from {@code min} to {@code max}; returns the default if the field is missing
     * or invalid.
     */
    public double number(String name, double min, double max, double defaultValue) {
        Optional<JsonNode> value = readField(name);
        if (value.isEmpty()) {
            return defaultValue;
        }
        JsonNode v = value.get();
        if (!v.isNumber() || v.asDouble() < min || v.asDouble() > max) {
            addFinding(name, "must be a number from " + min + " to " + max + ", not " + v);
            return defaultValue;
        }
        return v.asDouble();
    }

    /** Reads a boolean; returns the default if the field is missing or invalid. */
    public boolean flag(String name, boolean defaultValue) {
        Optional<JsonNode> value = readField(name);
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (!value.get().isBoolean()) {
            addFinding(name, "must be true or false, not " + value.get());
            return defaultValue;
        }
        return value.get().asBoolean();
    }

    /**
     * Reads a duration in milliseconds; the field name should end in {@code Ms}. All parameters are
     * in milliseconds.
     */
    public Duration millis(String name, long min, long max, long defaultValue) {
        return Duration.ofMillis(longInteger(name, min, max, defaultValue));
    }

    // ---- structure

    /** Reads a required object; returns a reader without fields after a validation error. */
    public ObjectReader object(String name) {
        Optional<JsonNode> value = readField(name);
        if (value.isEmpty()) {
            addFinding(name, "is missing");
        }
        JsonNode v = value.orElseGet(JsonNodeFactory.instance::objectNode);
        return of(document, pointer(name), v, findings);
    }

    /** Reads an optional object; empty if the field is missing or null. */
    public Optional<ObjectReader> optionalObject(String name) {
        return readField(name).map(v -> of(document, pointer(name), v, findings));
    }

    /** Reads an array of objects; empty if the field is missing. */
    public List<ObjectReader> objects(String name) {
        List<ObjectReader> list = new ArrayList<>();
        forEachElement(name, (pointer, v) -> list.add(of(document, pointer, v, findings)));
        return list;
    }

    /**
     * Reads an array of strings and converts each. Invalid elements are reported and left out.
     *
     * @param constructor throws {@link IllegalArgumentException} to reject a string
     * @return empty if the field is missing
     */
    public <T> List<T> strings(String name, Function<String, T> constructor) {
        List<T> list = new ArrayList<>();
        forEachElement(
                name,
                (pointer, v) -> {
                    if (!v.isTextual()) {
                        findings.add(document.location(pointer), "must be a string, not " + v);
                        return;
                    }
                    try {
                        list.add(constructor.apply(v.asText()));
                    } catch (IllegalArgumentException e) {
                        findings.add(document.location(pointer), e.getMessage());
                    }
                });
        return list;
    }

    /** Returns the names of all fields, for objects used as maps, and marks them as known. */
    public List<String> fieldNames() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        knownFields.addAll(names);
        return names;
    }

    /** Reports each field that has not been read as unknown. */
    public void reportUnknownFields() {
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!knownFields.contains(name)) {
                                addFinding(name, "is not a known field");
                            }
                        });
    }

    // ---- findings

    /** Adds a finding at a field, which may be missing. */
    public void addFinding(String name, String message) {
        findings.add(document.location(pointer(name)), message);
    }

    /** Returns the location of this object. */
    public SourceLocation location() {
        return document.location(path);
    }

    /** Returns the location of a field; of this object if the field is missing. */
    public SourceLocation location(String name) {
        return document.location(pointer(name));
    }

    private interface ElementVisitor {
        void visit(String pointer, JsonNode value);
    }

    private void forEachElement(String name, ElementVisitor visitor) {
        Optional<JsonNode> value = readField(name);
        if (value.isEmpty()) {
            return;
        }
        if (!value.get().isArray()) {
            addFinding(name, "must be an array");
            return;
        }
        int index = 0;
        for (JsonNode v : value.get()) {
            visitor.visit(pointer(name) + "/" + index, v);
            index++;
        }
    }

    private <T> Optional<T> string(String name, JsonNode v, Function<String, T> constructor) {
        if (!v.isTextual()) {
            addFinding(name, "must be a string, not " + v);
            return Optional.empty();
        }
        try {
            return Optional.of(constructor.apply(v.asText()));
        } catch (IllegalArgumentException e) {
            addFinding(name, e.getMessage());
            return Optional.empty();
        }
    }

    private Optional<JsonNode> readField(String name) {
        knownFields.add(name);
        JsonNode v = node.get(name);
        return v == null || v.isNull() ? Optional.empty() : Optional.of(v);
    }

    private String pointer(String name) {
        return path + "/" + name.replace("~", "~0").replace("/", "~1");
    }
}
