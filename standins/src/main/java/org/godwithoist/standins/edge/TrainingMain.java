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
 * Runs an edge daemon against stand-ins and has it serve calls of all kinds, so that the virtual
 * machine records the classes that it loads. The build uses the recording to shorten the start.
 */
public final class TrainingMain {
    private static final int ROUNDS = 60;
    private static final int START_TRIES = 100;
    private static final Duration START_PAUSE = Duration.ofMillis(100);
    private static final Duration EVENT_GAP = Duration.ofMillis(2);
    private static final long STOP_SECONDS = 60;
    private static final int MESSAGE_BYTES = 2000;

    private TrainingMain() {}

    /**
     * Runs the training.
     *
     * @param args folder for the settings file, then the command that starts the daemon
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path settings = Path.of(args[0], "training.conf");
        List<String> command = new ArrayList<>(List.of(args).subList(1, args.length));
        int front = LoopbackPorts.next();
        try (RowStoreStandin store = new RowStoreStandin();
                RunnerStandin model = new RunnerStandin("model-1", "models", 5, EVENT_GAP);
                RunnerStandin other = new RunnerStandin("model-2", "models", 5, EVENT_GAP);
                RunnerStandin desk = new RunnerStandin("desk-1", "desk", 0, EVENT_GAP);
                RunnerStandin spare = new RunnerStandin("desk-2", "desk", 0, EVENT_GAP);
                DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            store.put("op", "config", ConfigText.of(1, 10_000));
            for (RunnerStandin r : List.of(model, other, desk, spare)) {
                store.put("servers", r.id(), r.entry("zone-a", "ready"));
            }
            store.put("daemons", "another", "127.0.0.1:" + peer.getLocalPort() + " zone-b");
            Tasks.start("peer", () -> returnMessages(peer));
            int ready = LoopbackPorts.next();
            Files.writeString(
                    settings, EdgeSettingsText.of("training", front, ready, store.endpoint()));
            command.add(Integer.toString(LoopbackPorts.next()));
            ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
            builder.environment().put("GODWITHOIST_NODE_FILE", settings.toString());
            Process daemon = builder.start();
            try {
                awaitReady(new Endpoint("127.0.0.1", ready));
                play(new Endpoint("127.0.0.1", front), model, desk);
            } finally {
                daemon.destroy();
                daemon.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
            }
        }
    }

    /** Plays calls that are answered, and one of ten rounds with each fault. */
    private static void play(Endpoint front, RunnerStandin model, RunnerStandin desk) {
        List<RunnerFault> faults =
                List.of(
                        RunnerFault.BREAK_MIDWAY,
                        RunnerFault.LOSE_ANSWER,
                        RunnerFault.FAIL,
                        RunnerFault.SHED,
                        RunnerFault.STRAY_ANSWER);
        for (int i = 0; i < ROUNDS; i++) {
            boolean calm = i % 2 == 0;
            RunnerFault fault = calm ? RunnerFault.NONE : faults.get(i / 2 % faults.size());
            model.fault(fault);
            desk.fault(fault);
            try (ClientStandin client = new ClientStandin(front)) {
                call(client, "POST", ConfigText.RESUMABLE, i);
                call(client, "POST", ConfigText.SINGLE_STREAM, i);
                call(client, "POST", ConfigText.BOOKING, i);
                call(client, "GET", ConfigText.STATUS, i);
                call(client, "GET", "/nowhere/", i);
            } catch (IOException e) {
                // A stream that breaks off and may not be resumed ends the connection.
                Tasks.sleep(EVENT_GAP);
            }
        }
    }

    /** Sends each message back, so that the daemon reads messages as well as it writes them. */
    private static void returnMessages(DatagramSocket peer) {
        byte[] buffer = new byte[MESSAGE_BYTES];
        try {
            while (!peer.isClosed()) {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                peer.receive(packet);
                peer.send(packet);
            }
        } catch (IOException e) {
            // The training is over and the socket is closed.
            peer.close();
        }
    }

    private static void call(ClientStandin client, String method, String prefix, int round)
            throws IOException {
        Map<String, String> fields =
                Map.of(
                        "Host",
                        ConfigText.HOST,
                        "X-Godwithoist-Attempt-Id",
                        "training" + prefix.replace("/", "-") + round,
                        "X-Api-Key",
                        ConfigText.KEY,
                        "X-Godwithoist-Deadline-Ms",
                        "5000",
                        "X-Godwithoist-Prompt-Prefix",
                        "a1:500,b" + round % 7 + ":1000,c" + round + ":30");
        client.send(method, prefix + "x", fields, method.equals("POST") ? "{\"text\":1}" : "");
        client.receive();
    }

    private static void awaitReady(Endpoint ready) throws IOException {
        for (int i = 0; i < START_TRIES; i++) {
            if (isReady(ready)) {
                return;
            }
            Tasks.sleep(START_PAUSE);
        }
        throw new IOException("the daemon did not become ready");
    }

    private static boolean isReady(Endpoint ready) {
        try (ClientStandin probe = new ClientStandin(ready)) {
            probe.send("GET", "/readiness", Map.of("Host", "daemon"), "");
            return probe.receive().status() == 200;
        } catch (IOException e) {
            // The daemon does not listen yet.
            return false;
        }
    }
}
