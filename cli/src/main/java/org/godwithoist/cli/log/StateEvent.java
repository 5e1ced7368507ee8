package org.godwithoist.cli.log;

import java.util.Arrays;
import java.util.Optional;

/** Events that tell what a daemon believes from then on. */
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
    private final String of;

    StateEvent(String event, String of) {
        this.event = event;
        this.of = of;
    }

    /** Returns what an entry tells the state of; a later entry of that kind replaces it. */
    static Optional<String> kindOf(LogEntry entry) {
        return Arrays.stream(values())
                .filter(s -> s.event.equals(entry.event()))
                .findFirst()
                .map(s -> s.event + " " + entry.fields().getString(s.of, ""));
    }
}
