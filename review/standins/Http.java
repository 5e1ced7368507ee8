import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    /** A message; the names of the fields are compared without regard to case. */
    record Message(String startLine, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Reads a start line and fields; returns null if the stream ends before the first byte. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String line = readLine(in, false);
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            line = readLine(in, false);
        }
        return new Message(start, fields, new byte[0]);
    }

    /** Reads a message; one without a length has no body if it is a request. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        byte[] body;
        if (head.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            body = readChunks(in);
        } else if (!head.field("Content-Length").isEmpty()) {
            int length = Integer.parseInt(head.field("Content-Length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("body ended early");
            }
        } else {
            body = response ? in.readAllBytes() : new byte[0];
        }
        return new Message(head.startLine(), head.fields(), body);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int size = Integer.parseInt(readLine(in, false).trim(), 16);
        while (size > 0) {
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new EOFException("chunk ended early");
            }
            body.write(chunk);
            readLine(in, false);
            size = Integer.parseInt(readLine(in, false).trim(), 16);
        }
        readLine(in, false);
        return body.toByteArray();
    }

    static String readLine(InputStream in, boolean endAllowed) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0 && endAllowed) {
            return null;
        }
        while (b != '\n') {
            if (b < 0) {
                throw new EOFException("head ended early");
            }
            if (b != '\r') {
                line.write(b);
            }
            b = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
