import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a runner. It rejects requests for another runner with 421, runs as many requests at
 * once as it has slots, keeps connections open and drops a request when its connection closes.
 */
class Runner {
    /** One request that is being run. */
    final class Run {
        final Http.Message request;
        final String attempt;
        final OutputStream out;
        final long startedAt = System.nanoTime();
        final Connection connection;

        Run(Http.Message request, Connection connection) {
            this.request = request;
            this.connection = connection;
            attempt = request.field("X-Godwithoist-Attempt-Id");
            out = connection.out;
        }

        Runner runner() {
            return Runner.this;
        }

        /** Works for a time; returns false if the caller's connection closes meanwhile. */
        boolean work(long ms) throws InterruptedException {
            long end = System.nanoTime() + ms * 1_000_000;
            while (System.nanoTime() < end) {
                if (connection.ended) {
                    return false;
                }
                Thread.sleep(Math.min(10, 1 + (end - System.nanoTime()) / 1_000_000));
            }
            return !connection.ended;
        }

        String head(int status) {
            return "HTTP/1.1 " + status + " Status\r\nX-Godwithoist-Attempt-Id: " + attempt
                    + "\r\nX-Godwithoist-Runner-Signature: signed." + id + "." + attempt
                    + "\r\nX-Godwithoist-Runner-Load: " + running() + ",0," + slots
                    + "\r\nKeep-Alive: timeout=5\r\n";
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void answer(int status, String body) throws IOException {
            write(head(status) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        void startStream() throws IOException {
            write(head(200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void event(int number) throws IOException {
            String event = "id: " + number + "\ndata: piece " + number + " of " + attempt + "\n\n";
            write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }

        void endStream() throws IOException {
            write("0\r\n\r\n");
        }
    }

    /** What the runner does with a request that it runs. */
    interface Work {
        void run(Run run) throws IOException, InterruptedException;
    }

    final class Connection {
        final Socket socket;
        final OutputStream out;
        volatile boolean ended;
        private final java.util.concurrent.BlockingQueue<Http.Message> requests =
                new java.util.concurrent.LinkedBlockingQueue<>();

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
        }

        /** Reads requests ahead, so that a close is noticed while one runs. */
        void readAll() {
            try (InputStream in = new BufferedInputStream(new Stilled(socket.getInputStream()))) {
                Http.Message m = Http.read(in, false);
                while (m != null) {
                    requests.add(m);
                    m = Http.read(in, false);
                }
            } catch (IOException | RuntimeException e) {
                // The connection has failed.
            }
            ended = true;
        }

        void serveAll() {
            open.add(this);
            try (socket) {
                while (!ended || !requests.isEmpty()) {
                    Http.Message m = requests.poll(50, TimeUnit.MILLISECONDS);
                    if (m != null) {
                        serve(m, this);
                    }
                }
            } catch (IOException | InterruptedException e) {
                ended = true;
            }
            open.remove(this);
        }
    }

    /** Whether the runner stands still: its connections stay open, and it reads and sends nothing. */
    volatile boolean still;

    final String id;
    final String service;
    final String zone;
    final int slots;
    private final Work work;
    private final ServerSocket server;
    private final Semaphore free;
    private final Set<Connection> open = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private int sequence;

    Runner(String ip, String id, String service, String zone, int slots, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        free = new Semaphore(slots, true);
        server = new ServerSocket();
        // Small windows, as on the platform's links.
        server.setReceiveBufferSize(65_536);
        server.bind(new InetSocketAddress(ip, 0), 200);
        Thread.ofVirtual().start(this::acceptAll);
    }

    int running() {
        return slots - free.availablePermits();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    synchronized String entry(String state) {
        sequence++;
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"coldRemainingMs\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    /** Input that is not read while the runner stands still. */
    private final class Stilled extends java.io.FilterInputStream {
        Stilled(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] bytes, int from, int length) throws IOException {
            while (still) {
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            return super.read(bytes, from, length);
        }
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Connection c = new Connection(server.accept());
                Thread.ofVirtual().start(c::readAll);
                Thread.ofVirtual().start(c::serveAll);
            } catch (IOException e) {
                // Closed, or one connection has failed.
            }
        }
    }

    private void serve(Http.Message m, Connection c) throws IOException, InterruptedException {
        Run run = new Run(m, c);
        String expected = m.field("X-Godwithoist-Expect-Runner");
        if (!expected.isEmpty() && !expected.equals(id)) {
            run.write("HTTP/1.1 421 Status\r\nX-Godwithoist-Attempt-Id: " + run.attempt
                    + "\r\nX-Godwithoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (!free.tryAcquire(200, TimeUnit.MILLISECONDS)) {
            run.write("HTTP/1.1 503 Status\r\nX-Godwithoist-Attempt-Id: " + run.attempt
                    + "\r\nX-Godwithoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        try {
            work.run(run);
        } finally {
            free.release();
        }
    }

    void close() throws IOException {
        server.close();
        for (Connection c : open) {
            c.socket.close();
        }
    }
}
