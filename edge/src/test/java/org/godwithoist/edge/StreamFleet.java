package org.godwithoist.edge;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.net.BlackholeProxy;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.EdgeSettingsText;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.godwithoist.standins.edge.RunnerStandin;
import org.godwithoist.standins.edge.RunnerStandin.ExecutedRequest;
import org.godwithoist.standins.edge.RunnerVersion;

/**
 * Daemons in processes of their own, two targets of each of two software versions of an engine, and
 * callers that take their streams up again.
 */
final class StreamFleet implements AutoCloseable {
    static final String OLD = "v1.0";
    static final String NEW = "v1.1";
    static final int EVENTS = 24;

    private static final int DAEMONS = 2;
    private static final int TARGETS_OF_A_VERSION = 2;
    private static final int STREAM_TIMEOUT_MS = 15_000;
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(60);

    /** Time after which no request may reach a target that drains, {@code bounds.drainMs}. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(2);

    /** Time in which daemons learn of new targets and save which streams they have begun. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(1500);

    /** A daemon that can be killed and started again at the same address. */
    private final class Daemon {
        private final String name;
        private final Path dir;
        private final int port = LoopbackPorts.next();
        private final int readyPort = LoopbackPorts.next();
        private final BlackholeProxy storeLink = new BlackholeProxy(store.endpoint());
        private Optional<DaemonProcess> process = Optional.empty();

        Daemon(String name, Path parent) throws IOException {
            this.name = name;
            dir = Files.createDirectories(parent.resolve(name));
        }

        void start(boolean firstStart) throws IOException {
            String settings = EdgeSettingsText.of(name, port, readyPort, storeLink.endpoint());
            process =
                    Optional.of(
                            new DaemonProcess(
                                    dir,
                                    settings + "firstStart=" + firstStart + "\n",
                                    DaemonProcess.DEPLOYED_MEMORY));
        }

        void kill() {
            process.ifPresent(DaemonProcess::close);
        }

        void close() throws IOException {
            kill();
            storeLink.close();
        }
    }

    final RowStoreStandin store = new RowStoreStandin();
    private final List<RunnerStandin> targets = new ArrayList<>();
    private final Map<RunnerStandin, String> versions = new ConcurrentHashMap<>();
    private final List<Daemon> daemons = new ArrayList<>();

    /**
     * Starts two daemons with targets of the old version.
     *
     * @param dir directory for the files of the daemons
     */
    StreamFleet(Path dir) throws IOException {
        this(dir, DAEMONS);
    }

    /**
     * Starts daemons with targets of the old version.
     *
     * @param dir directory for the files of the daemons
     * @param count number of daemons
     */
    StreamFleet(Path dir, int count) throws IOException {
        store.put("op", "config", ConfigText.of(1, STREAM_TIMEOUT_MS));
        startTargets(OLD);
        for (int i = 0; i < count; i++) {
            daemons.add(new Daemon("edge-" + i, dir));
        }
        startDaemons(true);
    }

    /** Starts targets of a version and waits until the daemons know them. */
    void startTargets(String version) throws IOException {
        for (int i = 0; i < TARGETS_OF_A_VERSION; i++) {
            RunnerStandin target =
                    new RunnerStandin(version + "-" + i, "models", EVENTS, EVENT_INTERVAL);
            target.setVersion(RunnerVersion.good(version));
            targets.add(target);
            versions.put(target, version);
            store.put("servers", target.id(), target.entry("zone-a", "ready"));
        }
        settle();
    }

    /** Removes the targets of a version from the store; they complete what they have begun. */
    void removeTargets(String version) {
        targetsOf(version).forEach(t -> store.delete("servers", t.id()));
        Tasks.sleep(Duration.ofMillis(300));
    }

    /** Lets the targets of a version drain: they stay listed and take no new requests. */
    void drainTargets(String version) {
        targetsOf(version)
                .forEach(t -> store.put("servers", t.id(), t.entry("zone-a", "draining")));
        Tasks.sleep(DRAIN_TIME);
    }

    /** Ends the targets of a version like killed processes. */
    void endTargets(String version) {
        for (RunnerStandin t : targetsOf(version)) {
            try {
                t.end();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    List<RunnerStandin> targetsOf(String version) {
        return targets.stream().filter(t -> versions.get(t).equals(version)).toList();
    }

    /** Waits until what the daemons do in the background is done. */
    void settle() {
        Tasks.sleep(SETTLING_TIME);
    }

    /** Cuts a daemon off from the store, without a sign to either of them. */
    void cutOffFromStore(int index) {
        daemons.get(index).storeLink.setLinkDown(true);
    }

    /** Kills a daemon, after which the others do not hear it. */
    void killDaemon(int index) {
        daemons.get(index).kill();
    }

    /** Kills all daemons at once. */
    void killDaemons() {
        daemons.forEach(Daemon::kill);
    }

    /**
     * Starts all daemons and waits until they are ready.
     *
     * @param firstStart whether the fleet starts for the first time
     */
    void startDaemons(boolean firstStart) throws IOException {
        for (Daemon d : daemons) {
            d.start(firstStart);
        }
        for (Daemon d : daemons) {
            d.process.orElseThrow().awaitReadiness(d.readyPort);
        }
    }

    /** Returns the address of a daemon for callers. */
    Endpoint daemon(int index) {
        return new Endpoint("127.0.0.1", daemons.get(index % daemons.size()).port);
    }

    /** Begins streams at all daemons and waits until some events of each have arrived. */
    List<StreamCaller> beginStreams(int count) throws IOException {
        return beginStreams("stream", count);
    }

    /**
     * Begins streams like {@link #beginStreams(int)}.
     *
     * @param name begins the names of the streams
     */
    List<StreamCaller> beginStreams(String name, int count) throws IOException {
        List<StreamCaller> streams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StreamCaller stream = new StreamCaller(name + "-" + i);
            stream.begin(daemon(i));
            streams.add(stream);
        }
        for (StreamCaller s : streams) {
            s.receiveEvents(2);
        }
        return streams;
    }

    /**
     * Begins streams at the targets of a version, as a daemon does that none of these daemons
     * hears, and waits until some events of each have arrived.
     */
    List<StreamCaller> beginElsewhere(String version, int count) throws IOException {
        List<RunnerStandin> begins = targetsOf(version);
        List<StreamCaller> streams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StreamCaller stream = new StreamCaller("elsewhere-" + i);
            stream.beginAt(begins.get(i % begins.size()));
            streams.add(stream);
        }
        for (StreamCaller s : streams) {
            s.receiveEvents(2);
        }
        return streams;
    }

    /** Begins a stream at a daemon and waits until some events have arrived. */
    StreamCaller beginStream(String name, int index) throws IOException {
        StreamCaller stream = new StreamCaller(name);
        stream.begin(daemon(index));
        stream.receiveEvents(2);
        return stream;
    }

    /** Takes streams up again at one daemon and receives their rest. */
    void takeUpAt(int index, List<StreamCaller> streams) throws IOException {
        for (StreamCaller s : streams) {
            s.takeUp(daemon(index));
        }
        for (StreamCaller s : streams) {
            s.receiveRest();
        }
    }

    /** Takes streams up again, each at the next daemon, and receives their rest. */
    void takeUp(List<StreamCaller> streams) throws IOException {
        for (int i = 0; i < streams.size(); i++) {
            streams.get(i).takeUp(daemon(i + 1));
        }
        for (StreamCaller s : streams) {
            s.receiveRest();
        }
    }

    /** Takes streams up again, each at the daemon that began it, and receives their rest. */
    void takeUpAtTheSame(List<StreamCaller> streams) throws IOException {
        for (int i = 0; i < streams.size(); i++) {
            streams.get(i).takeUp(daemon(i));
        }
        for (StreamCaller s : streams) {
            s.receiveRest();
        }
    }

    /** Takes streams up again, each at the next daemon, and receives one more event of each. */
    void takeUpPartly(List<StreamCaller> streams) throws IOException {
        for (int i = 0; i < streams.size(); i++) {
            streams.get(i).takeUp(daemon(i + 1));
        }
        for (StreamCaller s : streams) {
            s.receiveOneMore();
        }
    }

    /** Registers all targets again, as they do after the store was restored. */
    void registerTargets() {
        for (RunnerStandin t : targets) {
            store.put("servers", t.id(), t.entry("zone-a", "ready"));
        }
    }

    /** Returns the versions that have brought events of a stream. */
    Set<String> versionsOf(StreamCaller stream) {
        Set<String> found = new HashSet<>();
        for (RunnerStandin t : targets) {
            boolean hasRun =
                    t.executedRequests().stream()
                            .map(ExecutedRequest::attemptId)
                            .anyMatch(stream.attempts()::contains);
            if (hasRun) {
                found.add(versions.get(t));
            }
        }
        return found;
    }

    /** Returns the streams whose events come from more than one version. */
    List<StreamCaller> joined(Collection<StreamCaller> streams) {
        return streams.stream().filter(s -> versionsOf(s).size() > 1).toList();
    }

    String logs() {
        return daemons.stream()
                .flatMap(d -> d.process.stream())
                .map(DaemonProcess::log)
                .collect(Collectors.joining("\n"));
    }

    @Override
    public void close() throws IOException {
        for (Daemon d : daemons) {
            d.close();
        }
        for (RunnerStandin t : targets) {
            t.close();
        }
        store.close();
    }
}
