package org.godwithoist.standins.client;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.function.BooleanSupplier;

/** What a client does on one connection. */
public interface ClientBehavior {
    /**
     * Sends what the client sends on one connection.
     *
     * @param over whether the client shall end
     */
    void send(OutputStream output, BooleanSupplier over) throws IOException;

    /**
     * Reads until the daemon ends the connection.
     *
     * @param over whether the client shall end
     */
    default void receive(InputStream input, BooleanSupplier over) throws IOException {
        input.transferTo(OutputStream.nullOutputStream());
    }
}
