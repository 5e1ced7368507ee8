package org.godwithoist.core.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.core.task.Tasks;

/**
 * Asynchronous log with one JSON object per line. Callers never block: if the queue is full, the
 * line is dropped, and a {@code log_lines_dropped} event reports the number of dropped lines.
 * Thread-safe.
 */
public final class EventLog {
    private static final int QUEUE_LINES = 512;

    private final OutputStream output;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong droppedLines = new AtomicLong();

    private EventLog(OutputStream output) {
        this.output = output;
    }

    /** Starts the task that writes queued lines to the output. */
    public static EventLog start(OutputStream output) {
        EventLog log = new EventLog(output);
        Tasks.start("event-log", log::run);
        return log;
    }

    /** Starts a new line, which is queued by {@link LogLine#write()}. */
    public LogLine event(String name) {
        return new LogLine(this, name);
    }

    /** Returns the number of lines dropped since the start. */
    public long droppedLines() {
        return droppedLines.get();
    }

    void enqueue(String line) {
        if (!queue.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    /** Writes all queued lines; called at the end of the process. */
    public void flush() {
        try {
            writeQueued(queue.poll());
        } catch (IOException e) {
            // A failure to write the log can be reported nowhere else.
            droppedLines.incrementAndGet();
        }
    }

    private void run() {
        long reportedDrops = 0;
        try {
            while (true) {
                writeQueued(queue.take());
                long dropped = droppedLines.get();
                if (dropped != reportedDrops) {
                    event("log_lines_dropped").with("lines", dropped - reportedDrops).write();
                    reportedDrops = dropped;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The output has failed and the task ends: the queue fills up and further lines are
            // dropped.
            droppedLines.incrementAndGet();
        }
    }

    private synchronized void writeQueued(String first) throws IOException {
        StringBuilder lines = new StringBuilder();
        for (String line = first; line != null; line = queue.poll()) {
            lines.append(line);
        }
        output.write(lines.toString().getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
