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
    private static final String DEFAULT_METRICS_PORT = "9105";
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
        Endpoint metricsAddress;
        try {
            settings = new SettingsFile(settingsPath(), log);
            metricsAddress = metricsAddress(args);
        } catch (IOException e) {
            log.event("settings_refused").with("reason", String.valueOf(e.getMessage())).write();
            log.flush();
            System.exit(EXIT_INVALID_SETTINGS);
            return;
        }
        // A failure in the task of a connection costs that connection only.
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) ->
                        log.event("task_failed")
                                .with("task", thread.getName())
                                .with("reason", String.valueOf(failure))
                                .with("at", StackLocation.of(failure))
                                .write());
        RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
        Edge edge = new Edge(settings, log, Runtime.getRuntime().maxMemory(), random);
        // Signals may arrive as soon as the process listens.
        HangupSignal.handle(settings::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(edge::stop, "stop"));
        edge.start(metricsAddress);
        new CountDownLatch(1).await();
    }

    private static Path settingsPath() throws IOException {
        String path = System.getenv(NodeFile.PATH_VARIABLE);
        if (path == null) {
            throw new IOException("environment variable " + NodeFile.PATH_VARIABLE + " is not set");
        }
        return Path.of(path);
    }

    private static Endpoint metricsAddress(String[] args) throws IOException {
        String port = args.length > 0 ? args[0] : DEFAULT_METRICS_PORT;
        try {
            return Endpoint.parse(ANY_ADDRESS + ":" + port);
        } catch (IllegalArgumentException e) {
            throw new IOException("metrics port: " + e.getMessage(), e);
        }
    }
}
