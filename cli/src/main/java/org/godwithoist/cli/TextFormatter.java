package org.godwithoist.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Formats any JSON response as text: single values as lines, lists of objects as tables. No command
 * has its own layout, so fields that a daemon adds are shown without changes here.
 */
final class TextFormatter {
    private static final String COLUMN_GAP = "  ";

    /**
     * Maximum cell width in tables, where long texts such as signatures and hashes are truncated;
     * {@code --json} prints them in full.
     */
    private static final int MAX_CELL_WIDTH = 40;

    private final StringBuilder text = new StringBuilder();

    private TextFormatter() {}

    static String of(JsonObject body) {
        TextFormatter formatter = new TextFormatter();
        formatter.appendObject("", body);
        return formatter.text.toString();
    }

    private void appendObject(String title, JsonObject object) {
        if (!title.isEmpty()) {
            text.append(title).append(":\n");
        }
        String indent = title.isEmpty() ? "" : COLUMN_GAP;
        List<List<String>> rows = new ArrayList<>();
        for (Map.Entry<String, Object> field : object) {
            if (!(field.getValue() instanceof JsonObject) && !isTable(field.getValue())) {
                rows.add(List.of(label(field.getKey()), cell(field.getValue(), Integer.MAX_VALUE)));
            }
        }
        appendRows(indent, rows);
        for (Map.Entry<String, Object> field : object) {
            String name =
                    title.isEmpty() ? label(field.getKey()) : title + " " + label(field.getKey());
            if (field.getValue() instanceof JsonObject child) {
                appendObject(name, child);
            } else if (isTable(field.getValue())) {
                appendTable(name, (JsonArray) field.getValue());
            }
        }
    }

    private static boolean isTable(Object value) {
        return value instanceof JsonArray a && !a.isEmpty();
    }

    private void appendTable(String title, JsonArray list) {
        text.append(title).append(":\n");
        Set<String> columns = new LinkedHashSet<>();
        for (Object row : list) {
            if (row instanceof JsonObject object) {
                columns.addAll(object.fieldNames());
            }
        }
        List<List<String>> rows = new ArrayList<>();
        if (!columns.isEmpty()) {
            rows.add(columns.stream().map(TextFormatter::label).toList());
        }
        for (Object row : list) {
            if (row instanceof JsonObject object) {
                rows.add(
                        columns.stream()
                                .map(c -> cell(object.getValue(c), MAX_CELL_WIDTH))
                                .toList());
            } else {
                rows.add(List.of(cell(row, Integer.MAX_VALUE)));
            }
        }
        appendRows(COLUMN_GAP, rows);
    }

    private void appendRows(String indent, List<List<String>> rows) {
        List<Integer> widths = new ArrayList<>();
        for (List<String> row : rows) {
            for (int i = 0; i < row.size(); i++) {
                if (i == widths.size()) {
                    widths.add(0);
                }
                widths.set(i, Math.max(widths.get(i), row.get(i).length()));
            }
        }
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder(indent);
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i));
                if (i < row.size() - 1) {
                    line.append(" ".repeat(widths.get(i) - row.get(i).length())).append(COLUMN_GAP);
                }
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
    }

    private static String label(String name) {
        return name.replace('_', ' ');
    }

    private static String cell(Object value, int max) {
        String formatted =
                switch (value) {
                    case null -> "-";
                    case JsonArray a ->
                            a.isEmpty()
                                    ? "none"
                                    : a.stream()
                                            .map(v -> cell(v, max))
                                            .collect(Collectors.joining(", "));
                    case JsonObject o ->
                            o.stream()
                                    .map(e -> label(e.getKey()) + " " + cell(e.getValue(), max))
                                    .collect(Collectors.joining(" "));
                    default -> value.toString();
                };
        boolean plain = !(value instanceof JsonArray) && !(value instanceof JsonObject);
        return plain && formatted.length() > max
                ? formatted.substring(0, max - 1) + "…"
                : formatted;
    }
}
