import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a daemon. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;

    /** Time from which the connection has been idle, in seconds of the bench. */
    volatile double idleSince;

    Client(Daemon daemon) throws IOException {
        this(daemon.ip, daemon.frontPort);
    }

    Client(String ip, int port) throws IOException {
        try {
            socket.connect(new InetSocketAddress(ip, port), 1000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    static String head(String method, String path, String id, int deadlineMs, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Bench.HOST + "\r\nX-Godwithoist-Attempt-Id: " + id
                + "\r\nX-Godwithoist-Deadline-Ms: " + deadlineMs + "\r\n" + more;
    }

    static String key() {
        return "X-Api-Key: " + Bench.KEY + "\r\n";
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads an answer until the time-out. */
    Http.Message receive(int timeoutMs) throws IOException {
        socket.setSoTimeout(Math.max(1, timeoutMs));
        return Http.read(in, true);
    }

    /** Closes the connection; returns true. */
    boolean quietClose() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
