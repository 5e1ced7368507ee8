package org.godwithoist.chat.http;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Splits a byte stream into server-sent events. A status line outside of data means that the
 * response broke off and another one follows on its connection; inside data it is a quote if the
 * data is valid, which the reader of the events checks. Not thread-safe.
 */
final class SseDecoder {
    /**
     * Maximum length of a line, in bytes; a longer one means that the peer does not speak this
     * protocol.
     */
    static final int MAX_LINE_BYTES = 1 << 20;

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d");
    private static final byte LINE_FEED = '\n';

    private Buffer pending = Buffer.buffer();
    private Optional<Long> id = Optional.empty();
    private final StringBuilder data = new StringBuilder();

    /**
     * One event.
     *
     * @param id event id; empty if the event has none
     * @param data lines of data joined by line feeds; empty for a comment
     * @param comment whether this is a comment line, which serves as a keepalive
     */
    record Event(Optional<Long> id, String data, boolean comment) {}

    /**
     * Adds received bytes and returns the events that they complete.
     *
     * @throws IllegalArgumentException if a line is too long, an id is not a number or another
     *     response begins
     */
    List<Event> feed(Buffer received) {
        pending.appendBuffer(received);
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < pending.length(); i++) {
            if (pending.getByte(i) != LINE_FEED) {
                continue;
            }
            String line = pending.getString(start, i, StandardCharsets.UTF_8.name());
            start = i + 1;
            processLine(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line)
                    .ifPresent(events::add);
        }
        pending = pending.getBuffer(start, pending.length());
        if (pending.length() > MAX_LINE_BYTES) {
            throw new IllegalArgumentException(
                    "a line of the event stream exceeds " + MAX_LINE_BYTES + " bytes");
        }
        return events;
    }

    private Optional<Event> processLine(String line) {
        if (!line.startsWith("data:") && STATUS_LINE.matcher(line).find()) {
            throw new IllegalArgumentException("another response begins in the event stream");
        }
        if (line.startsWith(":")) {
            return Optional.of(new Event(Optional.empty(), "", true));
        }
        if (line.startsWith("id:")) {
            id = Optional.of(Long.parseLong(line.substring(3).strip()));
            return Optional.empty();
        }
        if (line.startsWith("data:")) {
            if (!data.isEmpty()) {
                data.append('\n');
            }
            data.append(line.substring(5).strip());
            return Optional.empty();
        }
        if (!line.isEmpty() || data.isEmpty()) {
            return Optional.empty();
        }
        Event event = new Event(id, data.toString(), false);
        id = Optional.empty();
        data.setLength(0);
        return Optional.of(event);
    }
}
