package org.godwithoist.edge;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.platform.NodeFile;
import org.godwithoist.signals.HangupSignal;

/** Starts the edge daemon. */
public final class EdgeMain {
    private static final String ANY_ADDRESS = "0.0.0.0";
    private static final int DEFAULT_METRICS_PORT = 9105;
    private static final int EXIT_INVALID_SETTINGS = 2;

    private EdgeMain() {}

    /**
     * Runs the daemon until the process is terminated. Exits with status 2 if the settings are
     * invalid.
     *
     * @param args optional port of the metrics endpoint; 9105 by default
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        EventLog log = EventLog.start(new FileOutputStream(FileDescriptor.out));
        SettingsFile settings;
        try {
            settings = new SettingsFile(Path.of(System.getenv(NodeFile.PATH_VARIABLE)), log);
        } catch (IOException e) {
            log.event("settings_refused").with("reason", String.valueOf(e.getMessage())).write();
            log.flush();
            System.exit(EXIT_INVALID_SETTINGS);
            return;
        }
        int metricsPort = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_METRICS_PORT;
        RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
        Edge edge = new Edge(settings, log, random);
        // Signals may arrive as soon as the process listens.
        HangupSignal.handle(settings::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(edge::stop, "stop"));
        edge.start(new Endpoint(ANY_ADDRESS, metricsPort));
        new CountDownLatch(1).await();
    }
}
