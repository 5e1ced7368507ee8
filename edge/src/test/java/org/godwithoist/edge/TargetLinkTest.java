package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link TargetLink} before a server that sends back what it receives. */
final class TargetLinkTest {
    private static final int TIMEOUT_MS = 300;

    /** More than the second after which TCP repeats a packet that found the queue full. */
    private static final int REPEAT_TIMEOUT_MS = 2500;

    private static final int CALLERS = 5;
    private static final int BYTE = 7;

    private ServerSocket server;
    private TargetLink link;

    @BeforeEach
    void startServer() throws IOException {
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        Tasks.start("echo-accept", this::accept);
        open(false);
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        server.close();
    }

    private void open(boolean acceptsWhileSilent) throws IOException {
        Endpoint target = new Endpoint("127.0.0.1", server.getLocalPort());
        link = new TargetLink(target, acceptsWhileSilent);
    }

    private void accept() {
        try {
            while (true) {
                Socket accepted = server.accept();
                Tasks.start("echo", () -> sendBack(accepted));
            }
        } catch (IOException e) {
            // The test is over.
            return;
        }
    }

    private static void sendBack(Socket accepted) {
        try (accepted) {
            accepted.getInputStream().transferTo(accepted.getOutputStream());
        } catch (IOException e) {
            // The link was reset.
            return;
        }
    }

    private Socket connect() throws IOException {
        return connect(TIMEOUT_MS);
    }

    private Socket connect(int timeoutMs) throws IOException {
        Socket caller = new Socket();
        InetAddress loopback = InetAddress.getLoopbackAddress();
        caller.connect(new InetSocketAddress(loopback, link.endpoint().port()), timeoutMs);
        caller.setSoTimeout(TIMEOUT_MS);
        return caller;
    }

    private static int exchange(Socket caller) throws IOException {
        caller.getOutputStream().write(BYTE);
        return caller.getInputStream().read();
    }

    @Nested
    final class OpenConnections {
        /** Guards against faults that end connections which should go on. */
        @ParameterizedTest
        @EnumSource(names = {"NONE", "NEW_RESET", "NEW_REFUSED"})
        void goOn(LinkFault fault) throws IOException {
            try (Socket caller = connect()) {
                assertEquals(BYTE, exchange(caller));
                link.setFault(fault);
                assertEquals(BYTE, exchange(caller));
            }
        }

        /** Guards against a reset that callers take for an orderly end. */
        @Test
        void areReset() throws IOException {
            try (Socket caller = connect()) {
                assertEquals(BYTE, exchange(caller));
                link.setFault(LinkFault.RESET);
                assertThrows(SocketException.class, () -> exchange(caller));
            }
        }

        /** Guards against a link that loses data, which TCP would send again. */
        @Test
        void deliverLaterWhatWasSentDuringSilence() throws IOException {
            try (Socket caller = connect()) {
                assertEquals(BYTE, exchange(caller));
                link.setFault(LinkFault.SILENT);
                assertThrows(SocketTimeoutException.class, () -> exchange(caller));
                link.setFault(LinkFault.NONE);
                assertEquals(BYTE, caller.getInputStream().read());
            }
        }
    }

    @Nested
    final class NewConnections {
        /** Guards against a silent link at which callers get an answer to their first packet. */
        @Test
        void getNoAnswerDuringSilence() throws IOException {
            link.setFault(LinkFault.SILENT);
            for (int i = 0; i < CALLERS; i++) {
                assertThrows(SocketTimeoutException.class, TargetLinkTest.this::connect);
            }
        }

        /** Guards against a silent link that accepts a few connections only. */
        @Test
        void areAcceptedDuringSilenceWhereThisIsChosen() throws IOException {
            link.close();
            open(true);
            link.setFault(LinkFault.SILENT);
            for (int i = 0; i < CALLERS; i++) {
                try (Socket caller = connect()) {
                    assertThrows(SocketTimeoutException.class, () -> exchange(caller));
                }
            }
        }

        /** Guards against a reset that callers take for an orderly end. */
        @ParameterizedTest
        @EnumSource(names = {"RESET", "NEW_RESET"})
        void areReset(LinkFault fault) throws IOException {
            link.setFault(fault);
            for (int i = 0; i < CALLERS; i++) {
                assertThrows(SocketException.class, () -> exchange(connect()));
            }
        }

        /** Guards against a listener that accepts after it was closed. */
        @Test
        void areRefused() throws IOException {
            link.setFault(LinkFault.NEW_REFUSED);
            for (int i = 0; i < CALLERS; i++) {
                assertThrows(ConnectException.class, TargetLinkTest.this::connect);
            }
        }

        /** Guards against a fault that goes on after its end. */
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void workAfterEachFault(boolean acceptsWhileSilent) throws IOException {
            link.close();
            open(acceptsWhileSilent);
            for (LinkFault fault : LinkFault.values()) {
                link.setFault(fault);
                link.setFault(LinkFault.NONE);
                try (Socket caller = connect(REPEAT_TIMEOUT_MS)) {
                    assertEquals(BYTE, exchange(caller));
                }
            }
        }
    }
}
