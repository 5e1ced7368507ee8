package org.godwithoist.loadtool.demo;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.load.BlockingHttpClient;
import org.godwithoist.loadtool.load.FleetMap;

/**
 * Sends the host list to the platform stand-in, and retries for at least 10 s while the stand-in
 * starts. Exits with 1 on failure.
 */
public final class PublishHosts {
    private static final int ATTEMPTS = 100;
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);
    private static final int OK = 200;

    private PublishHosts() {}

    /**
     * Publishes the host list and exits.
     *
     * @param args the directory that {@link DemoSetup} wrote
     */
    public static void main(String[] args) throws IOException {
        Path dir = Path.of(args[0]);
        Path file = dir.resolve("fleet.json");
        Endpoint platform = FleetMap.parse(file.toString(), Files.readString(file)).platform();
        Buffer hosts = Buffer.buffer(Files.readString(dir.resolve("hosts.json")));
        Vertx vertx = Vertx.vertx();
        boolean done = publish(new BlockingHttpClient(vertx), platform, hosts);
        vertx.close();
        System.exit(done ? 0 : 1);
    }

    private static boolean publish(BlockingHttpClient http, Endpoint platform, Buffer hosts) {
        for (int i = 0; i < ATTEMPTS; i++) {
            try {
                var response = http.send(HttpMethod.PUT, platform, "/hosts", Map.of(), hosts);
                return response.statusCode() == OK;
            } catch (RuntimeException e) {
                // The stand-in does not listen yet.
                Tasks.sleep(RETRY_INTERVAL);
            }
        }
        System.err.println(
                "no response in "
                        + ATTEMPTS
                        + " attempts to send the host list to the platform stand-in at "
                        + platform);
        return false;
    }
}
