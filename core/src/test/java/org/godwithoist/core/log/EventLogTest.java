package org.godwithoist.core.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.godwithoist.core.task.Tasks;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EventLogTest {
    /** Output stream that blocks all writes until {@code open} is counted down. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch open = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] source, int from, int length) throws IOException {
            try {
                open.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
            synchronized (bytes) {
                bytes.write(source, from, length);
            }
        }

        private String text() {
            synchronized (bytes) {
                return bytes.toString(StandardCharsets.UTF_8);
            }
        }
    }

    @Nested
    final class Lines {
        /** Guards against unescaped values that make a line invalid JSON or split it. */
        @Test
        void stringsAreEscaped() {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            EventLog log = EventLog.start(out);
            log.event("call").with("detail", "a \"b\"\nc").with("ms", 5).write();
            log.flush();
            Tasks.sleep(Duration.ofMillis(100));
            String line = out.toString(StandardCharsets.UTF_8);
            assertTrue(line.contains("\"detail\":\"a \\\"b\\\"\\nc\",\"ms\":5}"), line);
            assertEquals(1, line.lines().count());
        }
    }

    @Nested
    final class Overload {
        /** Guards against requests blocked by a slow log output, and unreported lost lines. */
        @Test
        void writerNeverBlocksAndDroppedLinesAreReported() {
            BlockedOutput out = new BlockedOutput();
            EventLog log = EventLog.start(out);
            for (int i = 0; i < 2000; i++) {
                log.event("call").with("i", i).write();
            }
            assertTrue(log.droppedLines() > 0);
            out.open.countDown();
            for (int i = 0; i < 100 && !out.text().contains("log_lines_dropped"); i++) {
                Tasks.sleep(Duration.ofMillis(20));
            }
            assertTrue(out.text().contains("log_lines_dropped"));
        }
    }
}
