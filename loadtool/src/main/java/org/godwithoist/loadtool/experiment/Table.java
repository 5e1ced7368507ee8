package org.godwithoist.loadtool.experiment;

import java.util.ArrayList;
import java.util.List;

/** Table of results, formatted as aligned columns or as comma-separated values. */
final class Table {
    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    Table(List<String> headings) {
        rows.add(List.copyOf(headings));
    }

    /**
     * Adds a row.
     *
     * @throws IllegalArgumentException if the number of cells differs from the number of headings
     */
    void add(List<String> cells) {
        int columns = rows.getFirst().size();
        if (cells.size() != columns) {
            throw new IllegalArgumentException(
                    "row has " + cells.size() + " cells but the table has " + columns + " columns");
        }
        rows.add(List.copyOf(cells));
    }

    /** Returns the table as text with right-aligned columns. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            for (int c = 0; c < row.size(); c++) {
                text.append(COLUMN_GAP)
                        .append(" ".repeat(width(c) - row.get(c).length()))
                        .append(row.get(c));
            }
            text.append('\n');
        }
        return text.toString();
    }

    /** Returns the table as comma-separated values. Cells are not quoted or escaped. */
    String csv() {
        StringBuilder text = new StringBuilder();
        rows.forEach(row -> text.append(String.join(",", row)).append('\n'));
        return text.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(r -> r.get(column).length()).max().orElse(0);
    }
}
