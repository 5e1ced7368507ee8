package org.godwithoist.edge;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.godwithoist.core.task.Tasks;

/**
 * Counts the connections to some ports of this host, as the kernel lists them. Closed ones stay
 * listed for some time, so that also short ones are found.
 */
final class PortConnections implements AutoCloseable {
    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final String LISTENING = "0A";
    private static final String ESTABLISHED = "01";
    private static final Duration INTERVAL = Duration.ofMillis(50);

    /** A connection, by the port to which it was opened and the other one. */
    private record Connection(int port, int otherPort) {}

    /** A line of a table of the kernel. */
    private record Line(int localPort, int remotePort, String state) {
        private static Line of(String text) {
            String[] words = text.trim().split(" +", 5);
            return new Line(port(words[1]), port(words[2]), words[3]);
        }

        private static int port(String address) {
            return Integer.parseInt(address.substring(address.indexOf(':') + 1), 16);
        }
    }

    private final Collection<Integer> ports;
    private final Set<Connection> earlier;
    private final Set<Connection> all = new HashSet<>();
    private final Thread task;
    private int maxOpen;

    /** Starts to count connections to ports. */
    PortConnections(Collection<Integer> ports) {
        this.ports = ports;
        earlier = connections(lines());
        task = Tasks.start("count-connections", this::count);
    }

    private void count() {
        while (Tasks.sleep(INTERVAL)) {
            List<Line> lines = lines();
            List<Line> open = lines.stream().filter(l -> l.state().equals(ESTABLISHED)).toList();
            record(connections(lines), connections(open).size());
        }
    }

    private synchronized void record(Set<Connection> listed, int open) {
        all.addAll(listed);
        maxOpen = Math.max(maxOpen, open);
    }

    private static List<Line> lines() {
        return TABLES.stream()
                .flatMap(t -> read(t).stream().skip(1))
                .map(Line::of)
                .filter(l -> !l.state().equals(LISTENING))
                .toList();
    }

    private static List<String> read(Path table) {
        try {
            return Files.readAllLines(table);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Set<Connection> connections(List<Line> lines) {
        Set<Connection> found =
                lines.stream()
                        .filter(l -> ports.contains(l.localPort()))
                        .map(l -> new Connection(l.localPort(), l.remotePort()))
                        .collect(Collectors.toSet());
        lines.stream()
                .filter(l -> ports.contains(l.remotePort()))
                .map(l -> new Connection(l.remotePort(), l.localPort()))
                .forEach(found::add);
        return found;
    }

    /** Returns how many connections were open at the same time. */
    synchronized int maxOpen() {
        return maxOpen;
    }

    /** Returns how many connections were opened since the start. */
    synchronized int opened() {
        return (int) all.stream().filter(c -> !earlier.contains(c)).count();
    }

    @Override
    public void close() {
        task.interrupt();
    }
}
