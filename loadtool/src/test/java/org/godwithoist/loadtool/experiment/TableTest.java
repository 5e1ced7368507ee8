package org.godwithoist.loadtool.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TableTest {
    private final Table table = new Table(List.of("from s", "reuse"));

    @Nested
    class WithRows {
        /** Guards against cells that are not aligned with their heading. */
        @Test
        void alignsCellsWithTheirHeadings() {
            table.add(List.of("5", "0.900"));
            assertEquals("  from s  reuse\n       5  0.900\n", table.text());
            assertEquals("from s,reuse\n5,0.900\n", table.csv());
        }

        /** Guards against a missing cell, which would shift the cells after it. */
        @Test
        void rejectsRowWithMissingCell() {
            assertThrows(IllegalArgumentException.class, () -> table.add(List.of("5")));
        }
    }
}
