package org.godwithoist.report;

import java.util.Comparator;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Identifies a series: the requests that are counted together.
 *
 * @param workspace workspace of the requests
 * @param priority priority of the requests
 */
public record SeriesKey(WorkspaceId workspace, Priority priority) implements Comparable<SeriesKey> {
    private static final Comparator<SeriesKey> ORDER =
            Comparator.comparing(SeriesKey::workspace).thenComparing(SeriesKey::priority);

    @Override
    public int compareTo(SeriesKey other) {
        return ORDER.compare(this, other);
    }
}
