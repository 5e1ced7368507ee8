package org.godwithoist.edge;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.http.MessageReader;
import org.godwithoist.dispatch.http.MessageWriter;
import org.godwithoist.dispatch.http.ReadAheadSocket;

/** Serves the pages of the daemon itself: its readiness and its metrics. */
final class PageServer {
    private static final Duration IDLE = Duration.ofSeconds(10);
    private static final int MAX_LINE_BYTES = 8192;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    /** A page's status and text. */
    @SuppressWarnings("ArrayRecordComponent")
    record Page(int status, byte[] body) {
        static Page of(int status, String text) {
            return new Page(status, text.getBytes(StandardCharsets.UTF_8));
        }

        static Page ok(byte[] body) {
            return new Page(OK, body);
        }
    }

    /** Makes a page when it is asked for. */
    @FunctionalInterface
    interface PageSource {
        Page page() throws IOException;
    }

    private final Map<String, PageSource> pages;
    private final EventLog log;
    private final Ticker ticker;

    PageServer(Map<String, PageSource> pages, EventLog log, Ticker ticker) {
        this.pages = pages;
        this.log = log;
        this.ticker = ticker;
    }

    void serve(Socket raw) {
        try (ReadAheadSocket socket = new ReadAheadSocket(raw, "pages", ticker)) {
            MessageReader reader = new MessageReader(socket.input(), MAX_LINE_BYTES);
            MessageWriter writer = new MessageWriter(socket.output());
            boolean open = true;
            while (open) {
                socket.setReadDeadline(ticker.nanos() + IDLE.toNanos());
                open = answer(reader, writer);
            }
        } catch (IOException | HttpException e) {
            log.event("page_failed").with("reason", String.valueOf(e.getMessage())).write();
        }
    }

    private boolean answer(MessageReader reader, MessageWriter writer)
            throws IOException, HttpException {
        String path = reader.readRequestPath();
        if (path == null) {
            return false;
        }
        PageSource source = pages.get(path);
        Page page = source == null ? Page.of(NOT_FOUND, "no such page\n") : source.page();
        writer.startLine("HTTP/1.1 " + page.status() + " Status");
        writer.field("Content-Type", "text/plain");
        writer.field("Content-Length", Integer.toString(page.body().length));
        writer.endHead();
        writer.bytes(page.body(), 0, page.body().length);
        writer.flush();
        return true;
    }
}
