package org.godwithoist.cli.log;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads log files line by line, so that memory use does not depend on their size. */
public final class LogFiles {
    private final List<Path> files;
    private long unreadableLines;

    /** Creates a reader of the given files; nothing is read yet. */
    public LogFiles(List<Path> files) {
        this.files = List.copyOf(files);
    }

    /**
     * Passes each line that is a log event to the reader, in the order of the files.
     *
     * @throws IOException if a file cannot be read; the message names it
     */
    public void forEach(Consumer<LogEntry> reader) throws IOException {
        unreadableLines = 0;
        for (Path file : files) {
            try (BufferedReader lines = Files.newBufferedReader(file)) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    read(file, line, reader);
                }
            } catch (IOException e) {
                throw new IOException("cannot read " + file + ": " + e.getMessage(), e);
            }
        }
    }

    /** Returns the number of lines in the last read that were neither blank nor log events. */
    public long unreadableLineCount() {
        return unreadableLines;
    }

    private void read(Path file, String line, Consumer<LogEntry> reader) {
        Optional<LogEntry> entry = parse(file, line);
        if (entry.isPresent()) {
            reader.accept(entry.get());
        } else if (!line.isBlank()) {
            unreadableLines++;
        }
    }

    private static Optional<LogEntry> parse(Path file, String line) {
        int jsonStart = line.indexOf('{');
        if (jsonStart < 0) {
            return Optional.empty();
        }
        try {
            JsonObject fields = new JsonObject(line.substring(jsonStart));
            Long at = fields.getLong("at_ms");
            String event = fields.getString("event");
            if (at == null || event == null) {
                return Optional.empty();
            }
            return Optional.of(new LogEntry(at, source(file, line, jsonStart), event, fields));
        } catch (DecodeException | ClassCastException e) {
            // The caller counts the line as unreadable.
            return Optional.empty();
        }
    }

    /**
     * Returns the word before the JSON object, or else the file name. Log collectors put a host
     * name before each line, often after a time.
     */
    private static String source(Path file, String line, int jsonStart) {
        String before = line.substring(0, jsonStart).strip();
        if (before.isEmpty()) {
            return String.valueOf(file.getFileName());
        }
        return before.substring(before.lastIndexOf(' ') + 1);
    }
}
