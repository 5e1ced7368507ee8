package org.godwithoist.standins.edge;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.core.task.Tasks;

/**
 * Training run for a class data sharing (CDS) archive. Runs an edge daemon against stand-ins and
 * sends it requests of all kinds, so that the JVM records the loaded classes. The build uses the
 * archive to shorten the daemon's startup.
 */
public final class TrainingMain {
    private static final int ROUNDS = 60;
    private static final int MAX_READY_CHECKS = 100;
    private static final Duration READY_CHECK_INTERVAL = Duration.ofMillis(100);
    private static final Duration EVENT_DELAY = Duration.ofMillis(2);
    private static final long STOP_TIMEOUT_S = 60;
    private static final int MAX_MESSAGE_BYTES = 2000;

    private TrainingMain() {}

    /**
     * Runs the training and stops the daemon.
     *
     * @param args directory for the settings file, followed by the command that starts the daemon
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path settings = Path.of(args[0], "training.conf");
        List<String> command = new ArrayList<>(List.of(args).subList(1, args.length));
        int clientPort = LoopbackPorts.next();
        try (RowStoreStandin store = new RowStoreStandin();
                RunnerStandin engine = new RunnerStandin("model-1", "models", 5, EVENT_DELAY);
                RunnerStandin otherEngine = new RunnerStandin("model-2", "models", 5, EVENT_DELAY);
                RunnerStandin desk = new RunnerStandin("desk-1", "desk", 0, EVENT_DELAY);
                RunnerStandin otherDesk = new RunnerStandin("desk-2", "desk", 0, EVENT_DELAY);
                DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            store.put("op", "config", ConfigText.of(1, 10_000));
            for (RunnerStandin r : List.of(engine, otherEngine, desk, otherDesk)) {
                store.put("servers", r.id(), r.entry("zone-a", "ready"));
            }
            store.put("daemons", "another", "127.0.0.1:" + peer.getLocalPort() + " zone-b");
            Tasks.start("peer", () -> echoMessages(peer));
            int readinessPort = LoopbackPorts.next();
            Files.writeString(
                    settings,
                    EdgeSettingsText.of("training", clientPort, readinessPort, store.endpoint()));
            command.add(Integer.toString(LoopbackPorts.next()));
            ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
            builder.environment().put("GODWITHOIST_NODE_FILE", settings.toString());
            Process daemon = builder.start();
            try {
                awaitReady(new Endpoint("127.0.0.1", readinessPort));
                sendRequests(new Endpoint("127.0.0.1", clientPort), engine, desk);
            } finally {
                daemon.destroy();
                daemon.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS);
            }
        }
    }

    /**
     * Sends requests in rounds: every other round is free of faults, the others cycle through them.
     */
    private static void sendRequests(
            Endpoint clientAddress, RunnerStandin engine, RunnerStandin desk) {
        List<RunnerFault> faults =
                List.of(
                        RunnerFault.BREAK_MIDWAY,
                        RunnerFault.LOSE_ANSWER,
                        RunnerFault.FAIL,
                        RunnerFault.SHED,
                        RunnerFault.STRAY_ANSWER);
        for (int i = 0; i < ROUNDS; i++) {
            boolean faultFree = i % 2 == 0;
            RunnerFault fault = faultFree ? RunnerFault.NONE : faults.get(i / 2 % faults.size());
            engine.setFault(fault);
            desk.setFault(fault);
            try (ClientStandin client = new ClientStandin(clientAddress)) {
                sendRequest(client, "POST", ConfigText.RESUMABLE, i);
                sendRequest(client, "POST", ConfigText.NON_RESUMABLE, i);
                sendRequest(client, "POST", ConfigText.BOOKING, i);
                sendRequest(client, "GET", ConfigText.STATUS, i);
                sendRequest(client, "GET", "/nowhere/", i);
            } catch (IOException e) {
                // A stream that breaks and must not be resumed ends the connection.
                Tasks.sleep(EVENT_DELAY);
            }
        }
    }

    /** Echoes each message, so that the daemon also runs the code that receives messages. */
    private static void echoMessages(DatagramSocket peer) {
        byte[] buffer = new byte[MAX_MESSAGE_BYTES];
        try {
            while (!peer.isClosed()) {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                peer.receive(packet);
                peer.send(packet);
            }
        } catch (IOException e) {
            // The training has ended and closed the socket.
            peer.close();
        }
    }

    private static void sendRequest(ClientStandin client, String method, String prefix, int round)
            throws IOException {
        Map<String, String> fields =
                Map.of(
                        "Host",
                        ConfigText.HOST,
                        "X-Godwithoist-Attempt-Id",
                        "training" + prefix.replace("/", "-") + round,
                        "X-Api-Key",
                        ConfigText.API_KEY,
                        "X-Godwithoist-Deadline-Ms",
                        "5000",
                        "X-Godwithoist-Prompt-Prefix",
                        "a1:500,b" + round % 7 + ":1000,c" + round + ":30");
        client.send(method, prefix + "x", fields, method.equals("POST") ? "{\"text\":1}" : "");
        client.receive();
    }

    private static void awaitReady(Endpoint readinessAddress) throws IOException {
        for (int i = 0; i < MAX_READY_CHECKS; i++) {
            if (isReady(readinessAddress)) {
                return;
            }
            Tasks.sleep(READY_CHECK_INTERVAL);
        }
        throw new IOException(
                "edge daemon is not ready: no status 200 at /readiness; see its output above");
    }

    private static boolean isReady(Endpoint readinessAddress) {
        try (ClientStandin probe = new ClientStandin(readinessAddress)) {
            probe.send("GET", "/readiness", Map.of("Host", "daemon"), "");
            return probe.receive().status() == 200;
        } catch (IOException e) {
            // The daemon is not listening yet.
            return false;
        }
    }
}
