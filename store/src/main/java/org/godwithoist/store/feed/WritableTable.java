package org.godwithoist.store.feed;

import java.io.IOException;

/** Reads and writes one table of the store. */
public interface WritableTable extends TableFeed {
    /**
     * Inserts or replaces a row unconditionally.
     *
     * @throws IOException if the store did not confirm the write, which may still have taken effect
     */
    void write(String key, byte[] value) throws IOException;

    /**
     * Removes a row if it exists.
     *
     * @throws IOException if the store did not confirm the removal, which may still have taken
     *     effect
     */
    void remove(String key) throws IOException;
}
