package org.godwithoist.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events at event boundaries. A target may break off in the middle
 * of an event; only complete events are forwarded to the caller, so that another target can resume
 * after the last one. Ids that are numbers rise; an event whose id does not was sent before, and is
 * not forwarded. Other ids are not compared. Not thread-safe.
 */
public final class EventFramer {
    /** Receives the complete events of a part of the stream. */
    @FunctionalInterface
    public interface Sink {
        /** Receives one or more complete events. */
        void events(byte[] bytes, int from, int length) throws IOException;
    }

    /**
     * Maximum size of an event in bytes. Many streams share the memory of a daemon, and a target in
     * trouble may send an event without an end.
     */
    static final int MAX_EVENT_BYTES = 65_536;

    /** Digits of the longest id that a number of 64 bits holds. */
    private static final int MAX_ID_DIGITS = 18;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

    private ByteArrayOutputStream incompleteBytes = new ByteArrayOutputStream();
    private OptionalLong lastId = OptionalLong.empty();

    /** Id above which the next one must be; empty if it may be any. */
    private OptionalLong floor = OptionalLong.empty();

    private boolean atLineStart = true;
    private boolean resumable = true;

    /** Requires that the ids of all events are above that of an event which was sent before. */
    public void startAfter(OptionalLong event) {
        floor = event;
    }

    /** Returns the id of the last complete event that was forwarded; empty if there was none. */
    public OptionalLong lastId() {
        return lastId;
    }

    /**
     * Returns whether a target can go on exactly where this stream ended: no event with data was
     * forwarded after the last one whose id is a number. The target would send it again.
     */
    public boolean isResumable() {
        return resumable;
    }

    /** Returns whether an event has begun that is not complete. */
    public boolean hasIncompleteEvent() {
        return incompleteBytes.size() > 0;
    }

    /** Returns the size of the event that is not complete, in bytes. */
    public int incompleteBytes() {
        return incompleteBytes.size();
    }

    /**
     * Reads bytes of the stream and forwards the complete events.
     *
     * @return whether an event was completed
     * @throws EventTooLargeException if an event exceeds the limit
     * @throws RepeatedEventException if the id of an event is not above those before; the events
     *     before it have been forwarded
     */
    public boolean feed(byte[] bytes, int from, int length, Sink sink) throws IOException {
        int end = lastEventEnd(bytes, from, length);
        if (end < 0) {
            keep(bytes, from, length);
            return false;
        }
        if (incompleteBytes.size() > 0) {
            incompleteBytes.write(bytes, from, end - from);
            byte[] events = incompleteBytes.toByteArray();
            // A large buffer is not kept while the caller reads the events.
            incompleteBytes = new ByteArrayOutputStream();
            forward(events, 0, events.length, sink);
        } else {
            forward(bytes, from, end - from, sink);
        }
        keep(bytes, end, from + length - end);
        return true;
    }

    private void keep(byte[] bytes, int from, int length) throws EventTooLargeException {
        if (incompleteBytes.size() + length > MAX_EVENT_BYTES) {
            throw new EventTooLargeException(MAX_EVENT_BYTES);
        }
        incompleteBytes.write(bytes, from, length);
    }

    private void forward(byte[] bytes, int from, int length, Sink sink) throws IOException {
        int end = from + length;
        int eventStart = from;
        OptionalLong idBeforeEvent = lastId;
        OptionalLong id = lastId;
        boolean hasNumber = false;
        boolean hasData = false;
        for (int line = from; line < end; line = nextLine(bytes, line, end)) {
            if (isEmptyLine(bytes, line, end)) {
                eventStart = nextLine(bytes, line, end);
                idBeforeEvent = id;
                resumable = hasNumber || (resumable && !hasData);
                hasNumber = false;
                hasData = false;
                continue;
            }
            hasData |= startsWith(bytes, line, end, DATA_FIELD);
            OptionalLong found = idAt(bytes, line, end);
            if (found.isEmpty() || !isNumber(bytes, line, end)) {
                id = found.isPresent() ? found : id;
                continue;
            }
            if (!isAboveFloor(found.getAsLong())) {
                forwardUnchecked(bytes, from, eventStart, idBeforeEvent, sink);
                throw new RepeatedEventException(found.getAsLong(), floor.getAsLong());
            }
            id = found;
            floor = found;
            hasNumber = true;
        }
        forwardUnchecked(bytes, from, end, id, sink);
    }

    private boolean isAboveFloor(long id) {
        return floor.isEmpty() || id > floor.getAsLong();
    }

    private void forwardUnchecked(byte[] bytes, int from, int end, OptionalLong id, Sink sink)
            throws IOException {
        if (end > from) {
            sink.events(bytes, from, end - from);
            lastId = id;
        }
    }

    private static boolean isEmptyLine(byte[] bytes, int line, int end) {
        int i = line;
        while (i < end && bytes[i] == '\r') {
            i++;
        }
        return i < end && bytes[i] == '\n';
    }

    /** Returns the index after the end of a line. */
    private static int nextLine(byte[] bytes, int line, int end) {
        int i = line;
        while (i < end && bytes[i] != '\n') {
            i++;
        }
        return i + 1;
    }

    /** Returns the index after the last empty line, or -1 if no event ends in these bytes. */
    private int lastEventEnd(byte[] bytes, int from, int length) {
        int end = -1;
        for (int i = from; i < from + length; i++) {
            byte b = bytes[i];
            if (b == '\r') {
                continue;
            }
            if (b != '\n') {
                atLineStart = false;
                continue;
            }
            if (atLineStart) {
                end = i + 1;
            }
            atLineStart = true;
        }
        return end;
    }

    /** Returns whether an id has digits only, so that its order is known. */
    private static boolean isNumber(byte[] bytes, int line, int end) {
        int valueEnd = nextLine(bytes, line, end) - 1;
        String value =
                new String(
                        bytes,
                        line + ID_FIELD.length,
                        valueEnd - line - ID_FIELD.length,
                        StandardCharsets.ISO_8859_1);
        return value.strip().chars().allMatch(c -> c >= '0' && c <= '9');
    }

    private static boolean startsWith(byte[] bytes, int line, int end, byte[] field) {
        return line + field.length <= end
                && Arrays.equals(bytes, line, line + field.length, field, 0, field.length);
    }

    private static OptionalLong idAt(byte[] bytes, int line, int end) {
        if (!startsWith(bytes, line, end, ID_FIELD)) {
            return OptionalLong.empty();
        }
        long value = 0;
        int digits = 0;
        for (int i = line + ID_FIELD.length; i < end && bytes[i] != '\n'; i++) {
            if (bytes[i] >= '0' && bytes[i] <= '9') {
                value = value * 10 + (bytes[i] - '0');
                digits++;
            }
        }
        boolean isId = digits > 0 && digits <= MAX_ID_DIGITS;
        return isId ? OptionalLong.of(value) : OptionalLong.empty();
    }
}
