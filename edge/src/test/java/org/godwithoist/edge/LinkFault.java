package org.godwithoist.edge;

/** What happens to the connections of a {@link TargetLink}. */
enum LinkFault {
    /** All connections work. */
    NONE(false, false, false, false),
    /**
     * Nothing arrives in either direction, as behind a firewall that drops packets. What was sent
     * arrives afterwards, as TCP sends it again.
     */
    SILENT(true, false, false, false),
    /** Open connections and new ones are reset. */
    RESET(false, true, true, false),
    /** New connections are accepted and reset, open ones go on. */
    NEW_RESET(false, false, true, false),
    /** New connections are refused, as where nobody listens; open ones go on. */
    NEW_REFUSED(false, false, false, true);

    final boolean holdsData;
    final boolean resetsOpenConnections;
    final boolean resetsNewConnections;
    final boolean refusesNewConnections;

    LinkFault(
            boolean holdsData,
            boolean resetsOpenConnections,
            boolean resetsNewConnections,
            boolean refusesNewConnections) {
        this.holdsData = holdsData;
        this.resetsOpenConnections = resetsOpenConnections;
        this.resetsNewConnections = resetsNewConnections;
        this.refusesNewConnections = refusesNewConnections;
    }
}
