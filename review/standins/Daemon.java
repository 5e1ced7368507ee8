import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An edge daemon as a process of its own, started with the command of the deploy file. */
final class Daemon {
    final String name;
    final String ip;
    final String zone;
    final int frontPort;
    final int readyPort;
    private final Path folder;
    private final Path settings;
    volatile Process process;
    volatile long startedAt;

    Daemon(String name, String ip, String zone, String store, Path folder) throws IOException {
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        this.folder = folder;
        frontPort = freePort();
        readyPort = freePort();
        int peerPort = freePort();
        settings = folder.resolve(name + ".conf");
        Files.writeString(settings, """
                nodeName=%s
                role=edge
                machineClass=edge
                serves=edge
                ip=%s
                zone=%s
                region=be-north
                zones.%s=be-north
                listenAddresses.frontend=%s:%d
                listenAddresses.ready=%s:%d
                internalPorts=%d,%d
                firstStart=true
                faultCounted=false
                limits.cpuShare=0.75
                limits.cores=1
                limits.memoryMb=430
                limits.fileDescriptors=4100
                limits.linkMbps=1000.0
                limits.diskMb=0
                discovery=platform
                entry=virtual_ip
                heartbeatMs=1200
                bounds.addressReuseS=2
                bounds.contactMs=3000
                bounds.drainMs=2000
                bounds.graceS=8
                bounds.lossSlackMs=200
                bounds.configApplyMs=2000
                bounds.rollbackSlackMs=250
                bounds.retryBudgetRatio=0.2
                bounds.retryWindowS=10
                bounds.retryBudgetExtra=56
                bounds.coldBurstFactor=1.5
                bounds.coldSlack=5
                bounds.evacuationMs=5000
                bounds.recoveryS=12
                platform.address=%s
                platform.form=table
                """.formatted(name, ip, zone, zone, ip, frontPort, ip, readyPort, peerPort, peerPort + 1, store));
    }

    /** Below the range of ports that the system gives to outgoing connections. */
    private static final AtomicInteger NEXT_PORT = new AtomicInteger(10_000 + new Random().nextInt(20_000));

    /** Returns a port that is free at all addresses, for TCP and UDP. */
    private static int freePort() {
        while (true) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket tcp = new ServerSocket(port); DatagramSocket udp = new DatagramSocket(port)) {
                return port;
            } catch (IOException e) {
                // In use; the next one is tried.
            }
        }
    }

    /** Returns the words of the run line in the deploy file. */
    static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no run line");
    }

    void start() throws IOException {
        // The daemon opens its metrics port on all addresses, so each daemon of a machine needs its own.
        List<String> words = new ArrayList<>(command());
        words.set(words.size() - 1, Integer.toString(freePort()));
        ProcessBuilder b = new ProcessBuilder(words);
        b.environment().put("GODWITHOIST_NODE_FILE", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = b.start();
        startedAt = System.nanoTime();
    }

    /** Waits until the daemon says that it is ready. */
    void awaitReady(long maxMs) throws IOException, InterruptedException {
        long end = System.nanoTime() + maxMs * 1_000_000;
        while (!ready()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException(name + " is not ready; see its log");
            }
            Thread.sleep(50);
        }
    }

    boolean ready() {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(ip, readyPort), 500);
            s.setSoTimeout(500);
            s.getOutputStream().write("GET /readiness HTTP/1.1\r\nHost: d\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return Http.readHead(s.getInputStream()).status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    void terminate() {
        process.destroy();
    }

    void kill() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }
}
