package org.godwithoist.edge;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.RunnerStandin;

/**
 * A caller that receives a stream in parts, and takes it up again on another connection. Not
 * thread-safe.
 */
final class StreamCaller implements Closeable {
    private static final int TIMEOUT_MS = 10_000;
    private static final String EVENT_ID = "id: ";

    private final String name;
    private final List<String> attempts = new ArrayList<>();
    private final List<Integer> events = new ArrayList<>();
    private Socket socket;
    private BufferedReader reader;
    private int status;
    private String fields = "";

    /**
     * Creates a caller without a connection.
     *
     * @param name begins the ids of its attempts and identifies its prompt
     */
    StreamCaller(String name) {
        this.name = name;
    }

    /** Returns the ids of all attempts that may have brought events. */
    List<String> attempts() {
        return attempts;
    }

    /** Returns the status of the last response; 0 if there was none. */
    int status() {
        return status;
    }

    /** Returns the header of the last response. */
    String fields() {
        return fields;
    }

    /** Returns whether each event has arrived once, in order. */
    boolean isWhole() {
        for (int i = 0; i < events.size(); i++) {
            if (events.get(i) != i + 1) {
                return false;
            }
        }
        return events.size() == StreamFleet.EVENTS;
    }

    /** Sends a request for a new stream. */
    void begin(Endpoint daemon) throws IOException {
        send(daemon, ConfigText.RESUMABLE, "");
    }

    /**
     * Sends the request for a new stream to a target, as a daemon does that nobody else reaches.
     */
    void beginAt(RunnerStandin target) throws IOException {
        send(
                target.endpoint(),
                ConfigText.RESUMABLE,
                "X-Godwithoist-Expect-Runner: " + target.id() + "\r\n");
    }

    /** Names its last event on a route whose streams begin anew each time, as a browser does. */
    void beginAnew(Endpoint daemon, int lastEvent) throws IOException {
        send(daemon, ConfigText.NON_RESUMABLE, "Last-Event-Id: " + lastEvent + "\r\n");
    }

    /** Takes the stream up again after the events that have arrived. */
    void takeUp(Endpoint daemon) throws IOException {
        takeUp(daemon, attempts.get(0));
    }

    /**
     * Takes the stream up again.
     *
     * @param resumes id that the request names as the one that began the stream
     */
    void takeUp(Endpoint daemon, String resumes) throws IOException {
        send(
                daemon,
                ConfigText.RESUMABLE,
                "Resumes: " + resumes + "\r\nLast-Event-Id: " + events.size() + "\r\n");
    }

    private void send(Endpoint daemon, String prefix, String moreFields) throws IOException {
        close();
        String attempt = name + "-try-" + attempts.size();
        attempts.add(attempt);
        socket = new Socket(daemon.ip(), daemon.port());
        socket.setSoTimeout(TIMEOUT_MS);
        reader =
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String request =
                "POST "
                        + prefix
                        + "x HTTP/1.1\r\n"
                        + ("Host: " + ConfigText.HOST + "\r\n")
                        + ("X-Godwithoist-Attempt-Id: " + attempt + "\r\n")
                        + ("X-Api-Key: " + ConfigText.API_KEY + "\r\n")
                        + "X-Godwithoist-Deadline-Ms: 15000\r\n"
                        + ("X-Godwithoist-Prompt-Prefix: "
                                + hex(name)
                                + ":500,"
                                + hex(attempt)
                                + ":30\r\n")
                        + moreFields
                        + "Content-Length: 4\r\n\r\ntext";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
        status = 0;
    }

    private static String hex(String text) {
        return Integer.toHexString(text.hashCode());
    }

    /** Waits until the stream has a number of events. */
    void receiveEvents(int count) throws IOException {
        while (events.size() < count && receiveLine()) {
            // Each line is recorded when it is received.
        }
    }

    /** Waits for the next event. */
    void receiveOneMore() throws IOException {
        receiveEvents(events.size() + 1);
    }

    /** Receives until the response ends or breaks off. */
    void receiveRest() {
        try {
            while (receiveLine()) {
                // Each line is recorded when it is received.
            }
        } catch (IOException e) {
            // The connection has broken off; the events say how far the stream came.
            fields += "\n" + e.getMessage();
        }
    }

    private boolean receiveLine() throws IOException {
        if (status == 0) {
            return receiveHead();
        }
        String line = reader.readLine();
        if (line == null || line.equals("0")) {
            return false;
        }
        eventId(line).ifPresent(events::add);
        return true;
    }

    private boolean receiveHead() throws IOException {
        String line = reader.readLine();
        if (line == null) {
            return false;
        }
        status = Integer.parseInt(line.split(" ", 3)[1]);
        StringBuilder head = new StringBuilder();
        while (line != null && !line.isEmpty()) {
            head.append(line).append('\n');
            line = reader.readLine();
        }
        fields = head.toString();
        return status == 200;
    }

    private static OptionalInt eventId(String line) {
        return line.startsWith(EVENT_ID)
                ? OptionalInt.of(Integer.parseInt(line.substring(EVENT_ID.length())))
                : OptionalInt.empty();
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
        }
    }

    @Override
    public String toString() {
        return name + " " + attempts + " has " + events.size() + " events, " + status;
    }
}
