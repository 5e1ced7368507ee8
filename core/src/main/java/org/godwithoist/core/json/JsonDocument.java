package org.godwithoist.core.json;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A parsed JSON document, which may contain comments, with the location of each value. The
 * locations are stored apart from the tree, keyed by JSON pointer, because tree nodes carry none.
 */
public final class JsonDocument {
    private static final int MAX_DEPTH = 64;

    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    private final String file;
    private final JsonNode root;
    private final Map<String, SourceLocation> locations;

    private JsonDocument(String file, JsonNode root, Map<String, SourceLocation> locations) {
        this.file = file;
        this.root = root;
        this.locations = locations;
    }

    /**
     * Parses a document. Rejects duplicate field names.
     *
     * @param file name used in findings
     * @param text JSON; {@code //} and block comments and trailing commas are allowed
     * @throws FindingsException if the text is not valid JSON; its only finding has the location
     */
    public static JsonDocument parse(String file, String text) {
        Map<String, SourceLocation> locations = new HashMap<>();
        try (JsonParser parser = MAPPER.createParser(text)) {
            if (parser.nextToken() == null) {
                throw singleFinding(new SourceLocation(file, 1, 1, ""), "the document is empty");
            }
            JsonNode root = readValue(parser, file, "", locations, 0);
            if (parser.nextToken() != null) {
                throw singleFinding(
                        location(file, parser.currentTokenLocation(), ""),
                        "unexpected text after the end of the document");
            }
            return new JsonDocument(file, root, locations);
        } catch (JsonProcessingException e) {
            throw singleFinding(location(file, e.getLocation(), ""), e.getOriginalMessage());
        } catch (IOException e) {
            throw new IllegalStateException("reading from a string cannot fail", e);
        }
    }

    /** Returns the root value, which may be of any JSON type. */
    public JsonNode root() {
        return root;
    }

    /** Returns the file name used in findings. */
    public String file() {
        return file;
    }

    /**
     * Returns the location of the value at a JSON pointer. For a missing value, line and column are
     * those of the nearest enclosing value.
     */
    public SourceLocation location(String pointer) {
        SourceLocation exact = locations.get(pointer);
        if (exact != null) {
            return exact;
        }
        int slash = pointer.lastIndexOf('/');
        if (slash < 0) {
            return new SourceLocation(file, 1, 1, pointer);
        }
        SourceLocation parent = location(pointer.substring(0, slash));
        return new SourceLocation(file, parent.line(), parent.column(), pointer);
    }

    private static JsonNode readValue(
            JsonParser parser,
            String file,
            String path,
            Map<String, SourceLocation> locations,
            int depth)
            throws IOException {
        locations.put(path, location(file, parser.currentTokenLocation(), path));
        if (depth > MAX_DEPTH) {
            throw singleFinding(
                    locations.get(path), "nesting is deeper than " + MAX_DEPTH + " levels");
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, file, path, locations, depth);
            case START_ARRAY -> readArray(parser, file, path, locations, depth);
            default -> MAPPER.readTree(parser);
        };
    }

    private static ObjectNode readObject(
            JsonParser parser,
            String file,
            String path,
            Map<String, SourceLocation> locations,
            int depth)
            throws IOException {
        ObjectNode node = MAPPER.createObjectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            String childPath = path + "/" + name.replace("~", "~0").replace("/", "~1");
            node.set(name, readValue(parser, file, childPath, locations, depth + 1));
        }
        return node;
    }

    private static ArrayNode readArray(
            JsonParser parser,
            String file,
            String path,
            Map<String, SourceLocation> locations,
            int depth)
            throws IOException {
        ArrayNode node = MAPPER.createArrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            node.add(readValue(parser, file, path + "/" + node.size(), locations, depth + 1));
        }
        return node;
    }

    private static SourceLocation location(String file, JsonLocation position, String path) {
        if (position == null) {
            return new SourceLocation(file, 1, 1, path);
        }
        return new SourceLocation(
                file, Math.max(1, position.getLineNr()), Math.max(1, position.getColumnNr()), path);
    }

    private static FindingsException singleFinding(SourceLocation location, String message) {
        return new FindingsException(List.of(new Finding(location, message)));
    }
}
