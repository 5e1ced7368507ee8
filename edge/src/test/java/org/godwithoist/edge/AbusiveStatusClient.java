package org.godwithoist.edge;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.client.ClientBehavior;

/** Behaviour of a client that uses more of a status port than its requests need. */
enum AbusiveStatusClient implements ClientBehavior {
    /** Sends very many short header fields and does not end the head. */
    HEAD_SHORT_OF_ITS_END {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, START + "X-Filler: v\r\n".repeat(SHORT_LINES));
        }
    },
    /** Sends a byte of its head now and then. */
    SLOW_HEAD {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            write(output, START);
            while (!over.getAsBoolean()) {
                Tasks.sleep(BYTE_INTERVAL);
                write(output, "x");
            }
        }
    },
    /** Asks again and again and reads no response. */
    UNREAD_RESPONSES {
        @Override
        public void send(OutputStream output, BooleanSupplier over) throws IOException {
            String requests = (START + "\r\n").repeat(100);
            while (!over.getAsBoolean()) {
                write(output, requests);
            }
        }
    };

    private static final String START = "GET /metrics HTTP/1.1\r\nHost: daemon\r\n";
    private static final int SHORT_LINES = 190;
    private static final Duration BYTE_INTERVAL = Duration.ofMillis(20);

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
