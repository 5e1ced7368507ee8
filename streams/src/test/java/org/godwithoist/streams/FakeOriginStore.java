package org.godwithoist.streams;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.feed.StoreEra;

/** In-memory store that can be down, and that several daemons share. Not thread-safe. */
final class FakeOriginStore implements OriginStore {
    private static final long CLOCK_START_MS = 5_000_000;

    private final Ticker ticker;
    private final Map<StreamId, StreamOrigin> streams = new HashMap<>();
    private final Map<ServiceId, ServedRecord> records = new HashMap<>();
    private final Map<ServiceId, Long> versions = new HashMap<>();
    private long version;
    private StoreEra era = new StoreEra(1);
    boolean down;

    /** Whether its time is known, as it is to a client that has read a row. */
    boolean clockKnown = true;

    /** Service whose row the store does not accept, for example because its key is too long. */
    Optional<ServiceId> rejected = Optional.empty();

    /** Called while the row of a service is written. */
    Runnable onWriteServed = () -> {};

    /** Time that a search for a stream takes, on the system's clock. */
    Duration latency = Duration.ZERO;

    int reads;
    int writes;
    final List<Integer> changes = new ArrayList<>();

    FakeOriginStore(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Goes on in a new era, with the rows of streams lost. */
    void restore() {
        streams.clear();
        era = new StoreEra(era.value() + 1);
    }

    /** Loses the rows of the versions, as a copy does that is older than they are. */
    void forgetRecords() {
        records.clear();
        versions.clear();
    }

    int rowCount() {
        return streams.size();
    }

    Optional<ServedRecord> record(ServiceId service) {
        return Optional.ofNullable(records.get(service));
    }

    private void call() throws IOException {
        if (down) {
            throw new IOException("the store is down");
        }
    }

    @Override
    public void save(List<BegunStream> begun, List<StreamId> expired) throws IOException {
        call();
        if (!clockKnown) {
            throw new IOException("the store's clock is not known yet");
        }
        writes++;
        changes.add(begun.size() + expired.size());
        begun.forEach(s -> streams.put(s.stream(), s.origin()));
        expired.forEach(streams::remove);
    }

    @Override
    public Optional<StreamOrigin> find(StreamId stream) throws IOException {
        call();
        Tasks.sleep(latency);
        reads++;
        return Optional.ofNullable(streams.get(stream));
    }

    @Override
    public String removeExpired(String fromKey) throws IOException {
        call();
        return "";
    }

    @Override
    public ServedRow readServed(ServiceId service) throws IOException {
        call();
        if (rejected.equals(Optional.of(service))) {
            throw new IOException("the store responded with 400");
        }
        reads++;
        clockKnown = true;
        long nowMs = CLOCK_START_MS + ticker.nanos() / 1_000_000;
        return new ServedRow(
                Optional.ofNullable(records.get(service)),
                versions.getOrDefault(service, 0L),
                nowMs,
                era);
    }

    @Override
    public boolean writeServed(ServiceId service, ServedRecord record, long expectedVersion)
            throws IOException {
        call();
        onWriteServed.run();
        if (versions.getOrDefault(service, 0L) != expectedVersion) {
            return false;
        }
        writes++;
        records.put(service, record);
        versions.put(service, ++version);
        return true;
    }
}
