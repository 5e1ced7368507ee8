package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.platform.StoreCalls;
import org.godwithoist.platform.StreamTable;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.godwithoist.store.feed.StoreEras;
import org.godwithoist.streams.OriginStore.BegunStream;
import org.godwithoist.streams.ServedRecord;
import org.godwithoist.streams.ServedRow;
import org.godwithoist.streams.StreamId;
import org.godwithoist.streams.StreamOrigin;
import org.godwithoist.targets.SoftwareVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StreamTableTest {
    private static final ServiceId SERVICE = new ServiceId("models \"1\"");
    private static final StreamOrigin FIRST = origin("v1 \"quoted\"");
    private static final StreamOrigin UNVERSIONED = new StreamOrigin(Optional.empty());
    private static final Duration LIFE = Duration.ofSeconds(20);

    private RowStoreStandin store;
    private StreamTable table;

    @BeforeEach
    void start() throws IOException {
        store = new RowStoreStandin();
        EventLog log = EventLog.start(OutputStream.nullOutputStream());
        StoreEras eras = new StoreEras(new EraMonitor(log), Ticker.SYSTEM);
        table = new StreamTable(store.endpoint(), eras, new StoreCalls(), Ticker.SYSTEM);
    }

    @AfterEach
    void stop() throws IOException {
        store.close();
    }

    private static StreamOrigin origin(String version) {
        return new StreamOrigin(Optional.of(new SoftwareVersion(version)));
    }

    private static StreamId stream(String id) {
        return new StreamId(SERVICE, new RequestId(id));
    }

    @Nested
    final class Streams {
        /** Guards against a stream that is read as another one, or with another version. */
        @Test
        void areReadAsTheyWereWritten() throws Exception {
            table.readServed(SERVICE);
            table.save(
                    List.of(
                            new BegunStream(stream("a\"1"), FIRST, LIFE),
                            new BegunStream(stream("a"), UNVERSIONED, LIFE)),
                    List.of());
            assertEquals(Optional.of(FIRST), table.find(stream("a\"1")));
            assertEquals(Optional.of(UNVERSIONED), table.find(stream("a")));
            assertEquals(Optional.empty(), table.find(stream("b")));
            table.save(List.of(), List.of(stream("a")));
            assertEquals(Optional.empty(), table.find(stream("a")));
        }

        /** Guards against a row whose time cannot be compared with the store's clock. */
        @Test
        void areNotWrittenBeforeTheClockIsKnown() {
            assertThrows(
                    IOException.class,
                    () ->
                            table.save(
                                    List.of(new BegunStream(stream("a"), FIRST, LIFE)), List.of()));
        }

        /** Guards against rows of killed daemons that are kept for ever, and live ones removed. */
        @Test
        void areRemovedOnlyIfNobodyNeedsThem() throws Exception {
            table.readServed(SERVICE);
            table.save(
                    List.of(
                            new BegunStream(stream("live"), FIRST, LIFE),
                            new BegunStream(stream("old"), FIRST, Duration.ofMillis(-5))),
                    List.of());
            store.put("streams", "odd", "no json");
            assertEquals("", table.removeExpired(""));
            assertEquals(1, store.rowCount("streams"));
            assertEquals(Optional.of(FIRST), table.find(stream("live")));
        }
    }

    @Nested
    final class ServedVersions {
        /** Guards against a record that is read with other versions or times. */
        @Test
        void areReadAsTheyWereWritten() throws Exception {
            ServedRow empty = table.readServed(SERVICE);
            ServedRecord record =
                    new ServedRecord(
                            empty.era(),
                            7,
                            Map.of(
                                    FIRST, OptionalLong.empty(),
                                    UNVERSIONED, OptionalLong.of(1234)));
            assertTrue(table.writeServed(SERVICE, record, 0));
            assertEquals(Optional.of(record), table.readServed(SERVICE).record());
        }

        /** Guards against a daemon that overwrites what another one has just written. */
        @Test
        void areNotOverwritten() throws Exception {
            ServedRow empty = table.readServed(SERVICE);
            ServedRecord record =
                    new ServedRecord(empty.era(), 0, Map.of(FIRST, OptionalLong.empty()));
            assertTrue(table.writeServed(SERVICE, record, 0));
            assertFalse(table.writeServed(SERVICE, record, 0));
        }

        /** Guards against a row of another writer that ends the task. */
        @Test
        void ofAMalformedRowAreUnknown() throws Exception {
            store.put("served_versions", SERVICE.value(), "{\"versions\":7}");
            ServedRow row = table.readServed(SERVICE);
            assertEquals(Optional.empty(), row.record());
            assertTrue(row.version() > 0);
        }
    }
}
