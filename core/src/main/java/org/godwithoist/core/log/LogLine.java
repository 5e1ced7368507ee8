package org.godwithoist.core.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/** Builder of one log line. Not thread-safe. */
public final class LogLine {
    private final EventLog log;
    private final StringBuilder text = new StringBuilder(160);

    LogLine(EventLog log, String event) {
        this.log = log;
        text.append("{\"at_ms\":").append(System.currentTimeMillis());
        with("event", event);
    }

    /** Adds a string field. */
    public LogLine with(String name, String value) {
        appendName(name);
        text.append('"');
        JsonStringEncoder.getInstance().quoteAsString(value, text);
        text.append('"');
        return this;
    }

    /** Adds an integer field. */
    public LogLine with(String name, long value) {
        appendName(name);
        text.append(value);
        return this;
    }

    /** Adds a boolean field. */
    public LogLine with(String name, boolean value) {
        appendName(name);
        text.append(value);
        return this;
    }

    private void appendName(String name) {
        text.append(",\"").append(name).append("\":");
    }

    /** Queues the line, or drops it if the queue is full. To be called once. */
    public void write() {
        text.append("}\n");
        log.enqueue(text.toString());
    }
}
