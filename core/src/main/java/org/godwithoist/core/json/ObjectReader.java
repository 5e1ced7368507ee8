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
 * Reads the fields of one JSON object. Faults go to the findings with their place and reading goes
 * on with a default, so that one pass reports everything. {@link #finish()} reports unknown fields.
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

    /** Reads the root object of a document. */
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

    /** Reads a required text through a constructor that may reject it. */
    public <T> Optional<T> required(String name, Function<String, T> constructor) {
        Optional<JsonNode> value = take(name);
        if (value.isEmpty()) {
            add(name, "is missing");
            return Optional.empty();
        }
        return text(name, value.get(), constructor);
    }

    /** Reads an optional text through a constructor that may reject it. */
    public <T> Optional<T> optional(String name, Function<String, T> constructor) {
        return take(name).flatMap(v -> text(name, v, constructor));
    }

    /** Reads a required text; an empty string after a fault. */
    public String text(String name) {
        return required(name, Function.identity()).orElse("");
    }

    /** Reads a whole number within limits, or the default if the field is missing or wrong. */
    public int integer(String name, int min, int max, int otherwise) {
        return (int) whole(name, min, max, otherwise);
    }

    /** Reads a whole number within limits, or the default if the field is missing or wrong. */
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

    /** Reads a number within limits, or the default if the field is missing or wrong. */
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

    /** Reads true or false, or the default if the field is missing or wrong. */
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

    /** Reads a time in milliseconds; the field's name should end in {@code Ms}. */
    public Duration millis(String name, long min, long max, long otherwise) {
        return Duration.ofMillis(whole(name, min, max, otherwise));
    }

    // ---- structure

    /** Reads a required object. */
    public ObjectReader object(String name) {
        Optional<JsonNode> value = take(name);
        if (value.isEmpty()) {
            add(name, "is missing");
        }
        JsonNode v = value.orElseGet(JsonNodeFactory.instance::objectNode);
        return of(document, pointer(name), v, findings);
    }

    /** Reads an optional object. */
    public Optional<ObjectReader> optionalObject(String name) {
        return take(name).map(v -> of(document, pointer(name), v, findings));
    }

    /** Reads a list of objects; empty if the field is missing. */
    public List<ObjectReader> objects(String name) {
        List<ObjectReader> list = new ArrayList<>();
        elements(name, (pointer, v) -> list.add(of(document, pointer, v, findings)));
        return list;
    }

    /** Reads a list of texts through a constructor that may reject them; empty if missing. */
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

    /** Returns the names of all fields, for objects used as maps; they count as known. */
    public List<String> names() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        known.addAll(names);
        return names;
    }

    /** Reports fields that nobody read. */
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

    /** Reports a fault in a field. */
    public void add(String name, String message) {
        findings.add(document.place(pointer(name)), message);
    }

    /** Returns the place of this object. */
    public Place place() {
        return document.place(path);
    }

    /** Returns the place of a field. */
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
