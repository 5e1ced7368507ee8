package org.godwithoist.cli.log;

import java.util.Arrays;
import java.util.Optional;

/** Log events that record a state of the daemon, which lasts until the next event of its kind. */
enum StateEvent {
    START("start", ""),
    STOP("stop", ""),
    SETTINGS("settings_read", ""),
    CATALOG("catalog", ""),
    TABLE_READ("table_read", "table"),
    STORE_AWAY("store_away", "table"),
    STORE_BACK("store_back", "table"),
    NEWS_SOURCE("news_source", "table"),
    FLEET("fleet", ""),
    LEADER("peers_leader", "");

    private final String event;
    private final String keyField;

    StateEvent(String event, String keyField) {
        this.event = event;
        this.keyField = keyField;
    }

    /**
     * Returns a key for the state that an entry records, or empty if it records none. A later entry
     * with the same key replaces the state.
     */
    static Optional<String> stateKey(LogEntry entry) {
        return Arrays.stream(values())
                .filter(s -> s.event.equals(entry.event()))
                .findFirst()
                .map(s -> s.event + " " + entry.fields().getString(s.keyField, ""));
    }
}
