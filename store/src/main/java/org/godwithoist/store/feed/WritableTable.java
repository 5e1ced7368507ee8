package org.godwithoist.store.feed;

import java.io.IOException;

/** Calls to the store about a table that the daemons write. */
public interface WritableTable extends TableFeed {
    /**
     * Writes a row whatever it was before.
     *
     * @throws IOException if the store did not say that it is written
     */
    void write(String key, byte[] value) throws IOException;
}
