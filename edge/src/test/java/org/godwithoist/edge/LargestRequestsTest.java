package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.godwithoist.core.net.LoopbackPorts;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.EdgeSettingsText;
import org.godwithoist.standins.edge.LargeResponseRunner;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Scenario: a daemon with the deployed heap and one caller. */
@Tag("isolated")
final class LargestRequestsTest {
    @TempDir Path dir;
    private final int port = LoopbackPorts.next();
    private final int readyPort = LoopbackPorts.next();
    private final List<LargeResponseRunner> targets = new ArrayList<>();
    private RowStoreStandin store;
    private DaemonProcess daemon;

    @BeforeEach
    void start() throws IOException {
        store = new RowStoreStandin();
        store.put("op", "config", ConfigText.of(1, 30_000, LargestRequest.MAX_BODY_BYTES));
        addTarget("desk", "desk");
        addTarget("engine", "models");
        daemon =
                new DaemonProcess(
                        dir,
                        EdgeSettingsText.of("edge-1", port, readyPort, store.endpoint()),
                        DaemonProcess.DEPLOYED_MEMORY);
        daemon.awaitReadiness(readyPort);
    }

    private void addTarget(String id, String service) throws IOException {
        LargeResponseRunner target = new LargeResponseRunner(id, service);
        targets.add(target);
        store.put("servers", id, target.entry());
    }

    @AfterEach
    void stop() throws IOException {
        daemon.close();
        for (LargeResponseRunner t : targets) {
            t.close();
        }
        store.close();
    }

    @Nested
    final class RequestsJustInsideTheLimits {
        private static final int TIMEOUT_MS = 30_000;

        /** Guards against a limit of the daemon that callers inside the catalog's limits meet. */
        @ParameterizedTest
        @EnumSource
        void areServed(LargestRequest request) throws IOException {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(TIMEOUT_MS);
                Tasks.start("send", () -> send(request, socket));
                byte[] response = socket.getInputStream().readAllBytes();
                String text = new String(response, StandardCharsets.ISO_8859_1);
                String end = text.replace("HTTP/1.1 100 Continue\r\n\r\n", "");
                assertTrue(
                        end.startsWith("HTTP/1.1 200 "),
                        () -> end.lines().findFirst() + "\n" + daemon.endOfLog());
            }
        }

        private static void send(LargestRequest request, Socket socket) {
            try {
                request.send(socket.getOutputStream());
            } catch (IOException e) {
                // The daemon has refused the request, which its response shows.
                return;
            }
        }
    }
}
