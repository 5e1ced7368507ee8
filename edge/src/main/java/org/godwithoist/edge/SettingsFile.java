package org.godwithoist.edge;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.platform.NodeFile;
import org.godwithoist.settings.EdgeSettings;

/**
 * The current settings. The file is reloaded on a hangup signal and when its modification time has
 * changed; an invalid file is rejected as a whole. Changes of addresses take effect only after a
 * restart. Thread-safe.
 */
final class SettingsFile {
    private final Path path;
    private final EventLog log;
    private volatile EdgeSettings current;
    private FileTime lastModified;

    /**
     * Reads the file.
     *
     * @throws IOException if the file cannot be read or is invalid
     */
    SettingsFile(Path path, EventLog log) throws IOException {
        this.path = path;
        this.log = log;
        lastModified = Files.getLastModifiedTime(path);
        current = NodeFile.read(path);
    }

    /** Returns the settings of the last valid file. */
    EdgeSettings current() {
        return current;
    }

    /** Reloads the file; keeps the current settings and logs the reason if it is invalid. */
    synchronized void reload() {
        try {
            lastModified = Files.getLastModifiedTime(path);
            EdgeSettings next = NodeFile.read(path);
            boolean changed = !next.equals(current);
            current = next;
            log.event("settings_read").with("changed", Boolean.toString(changed)).write();
        } catch (IOException e) {
            log.event("settings_refused").with("reason", String.valueOf(e.getMessage())).write();
        }
    }

    /** Reloads the file if its modification time has changed. */
    synchronized void reloadIfChanged() {
        try {
            if (!Files.getLastModifiedTime(path).equals(lastModified)) {
                reload();
            }
        } catch (IOException e) {
            log.event("settings_refused").with("reason", String.valueOf(e.getMessage())).write();
        }
    }
}
