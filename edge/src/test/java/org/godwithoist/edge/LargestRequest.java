package org.godwithoist.edge;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.LargeResponseRunner;

/** A request just inside the limits that a catalog states. */
enum LargestRequest {
    /** A head of the maximum size, in the shortest lines. */
    SHORTEST_HEADER_LINES {
        @Override
        void send(OutputStream output) throws IOException {
            write(output, fullHead("a:b\r\n"));
        }
    },
    /** A head of the maximum size, in many short lines. */
    SHORT_HEADER_LINES {
        @Override
        void send(OutputStream output) throws IOException {
            write(output, fullHead("X-Filler: v-v-v-v-\r\n"));
        }
    },
    /** A head of the maximum size, most of it one value in continued lines. */
    FOLDED_HEADER_LINES {
        @Override
        void send(OutputStream output) throws IOException {
            write(output, fullHead("X-Filler: v\r\n", " v\r\n"));
        }
    },
    /** A head of the maximum size, most of it one line. */
    LONG_HEADER_LINE {
        @Override
        void send(OutputStream output) throws IOException {
            write(output, fullHead(""));
        }
    },
    /** A head of the maximum size, most of it the query. */
    LONG_QUERY {
        @Override
        void send(OutputStream output) throws IOException {
            String shortest = head("GET", ConfigText.STATUS + "x?q=", "") + "\r\n";
            String query = "x?q=" + "v".repeat(MAX_HEADER_BYTES - shortest.length());
            write(output, head("GET", ConfigText.STATUS + query, "") + "\r\n");
        }
    },
    /** The number of empty lines before a request that the documentation permits. */
    EMPTY_LINES_BEFORE {
        @Override
        void send(OutputStream output) throws IOException {
            write(output, "\r\n".repeat(10) + head("GET", ConfigText.STATUS + "x", "") + "\r\n");
        }
    },
    /** A head that arrives byte by byte, within its time. */
    SLOW_HEAD {
        @Override
        void send(OutputStream output) throws IOException {
            String head = head("GET", ConfigText.STATUS + "x", "") + "\r\n";
            for (int i = 0; i < head.length(); i++) {
                write(output, head.substring(i, i + 1));
                Tasks.sleep(Duration.ofMillis(10));
            }
        }
    },
    /** A prompt of as many parts as fit into a head. */
    MANY_PROMPT_PARTS {
        @Override
        void send(OutputStream output) throws IOException {
            String parts =
                    IntStream.range(0, 3200)
                            .mapToObj(i -> Integer.toString(i, Character.MAX_RADIX))
                            .collect(Collectors.joining(","));
            String path = ConfigText.RESUMABLE + LargeResponseRunner.LARGE_STREAM;
            String prompt = "X-Godwithoist-Prompt-Prefix: " + parts + "\r\n";
            write(output, head("POST", path, prompt) + "Content-Length: 4\r\n\r\ntext");
        }
    },
    /** A body of the maximum size with its length. */
    BODY_WITH_LENGTH {
        @Override
        void send(OutputStream output) throws IOException {
            write(output, upload("Content-Length: " + MAX_BODY_BYTES));
            output.write(body(MAX_BODY_BYTES));
        }
    },
    /** A body of the maximum size that is sent after the interim response. */
    BODY_AFTER_CONTINUE {
        @Override
        void send(OutputStream output) throws IOException {
            write(output, upload("Expect: 100-continue\r\nContent-Length: " + MAX_BODY_BYTES));
            Tasks.sleep(Duration.ofMillis(500));
            output.write(body(MAX_BODY_BYTES));
        }
    },
    /** A body of the maximum size in one chunk. */
    BODY_IN_ONE_CHUNK {
        @Override
        void send(OutputStream output) throws IOException {
            sendWhole(output, ConfigText.BOOKING + "x");
        }
    },
    /** A body of the maximum size in chunks of a byte. */
    BODY_IN_CHUNKS_OF_A_BYTE {
        @Override
        void send(OutputStream output) throws IOException {
            write(output, upload(CHUNKED));
            for (int i = 0; i < MAX_BODY_BYTES / CHUNKS_AT_ONCE; i++) {
                write(output, "1\r\nx\r\n".repeat(CHUNKS_AT_ONCE));
            }
            write(output, "0\r\n\r\n");
        }
    },
    /** A body of the maximum size in chunks with extensions, and with trailers. */
    BODY_WITH_EXTENSIONS_AND_TRAILERS {
        @Override
        void send(OutputStream output) throws IOException {
            write(output, upload(CHUNKED));
            String chunk = "0000400;name=" + "e".repeat(50) + "\r\n" + "x".repeat(1024) + "\r\n";
            for (int i = 0; i < MAX_BODY_BYTES / 1024; i++) {
                write(output, chunk);
            }
            write(output, "0\r\n" + ("T: " + "v".repeat(500) + "\r\n").repeat(19) + "\r\n");
        }
    },
    /** A body of the maximum size in one chunk, on the route for reads. */
    BODY_OF_A_READ {
        @Override
        void send(OutputStream output) throws IOException {
            sendWhole(output, ConfigText.STATUS + "x");
        }
    },
    /** The same, to an engine, whose stream may be resumed. */
    BODY_OF_A_RESUMABLE_STREAM {
        @Override
        void send(OutputStream output) throws IOException {
            sendWhole(output, ConfigText.RESUMABLE + LargeResponseRunner.LARGE_STREAM);
        }
    },
    /** The same, to an engine, whose stream runs at most once. */
    BODY_OF_A_STREAM_THAT_RUNS_ONCE {
        @Override
        void send(OutputStream output) throws IOException {
            sendWhole(output, ConfigText.NON_RESUMABLE + LargeResponseRunner.LARGE_STREAM);
        }
    },
    /** A body that takes longer than most, and less time than its caller waits. */
    SLOW_BODY {
        @Override
        void send(OutputStream output) throws IOException {
            write(output, upload("Content-Length: " + 13_000));
            for (int i = 0; i < 13; i++) {
                Tasks.sleep(Duration.ofSeconds(1));
                output.write(body(1000));
            }
        }
    };

    /** Limit of a head in the catalog of the tests. */
    private static final int MAX_HEADER_BYTES = 16_384;

    /** Limit of a body on the users' platform. */
    static final int MAX_BODY_BYTES = 4 << 20;

    private static final int CHUNKS_AT_ONCE = 4096;
    private static final String CHUNKED = "Transfer-Encoding: chunked";

    /** Sends the request. */
    abstract void send(OutputStream output) throws IOException;

    private static String head(String method, String path, String fields) {
        return "%s %s HTTP/1.1\r\nHost: %s\r\n".formatted(method, path, ConfigText.HOST)
                + "X-Api-Key: %s\r\nX-Godwithoist-Attempt-Id: largest-%d\r\n"
                        .formatted(ConfigText.API_KEY, System.nanoTime())
                + "X-Godwithoist-Deadline-Ms: 30000\r\nConnection: close\r\n"
                + fields;
    }

    private static String upload(String framing) {
        return upload(ConfigText.BOOKING + "x", framing);
    }

    private static String upload(String path, String framing) {
        return head("POST", path, framing + "\r\n") + "\r\n";
    }

    /** Sends a body of the maximum size in one chunk. */
    private static void sendWhole(OutputStream output, String path) throws IOException {
        write(output, upload(path, CHUNKED) + Integer.toHexString(MAX_BODY_BYTES) + "\r\n");
        output.write(body(MAX_BODY_BYTES));
        write(output, "\r\n0\r\n\r\n");
    }

    private static String fullHead(String line) {
        return fullHead(line, line);
    }

    /** Returns a head of the maximum size: a first line, others, and a last one that fills it. */
    private static String fullHead(String firstLine, String otherLines) {
        String start = head("GET", ConfigText.STATUS + "x", firstLine);
        int left = MAX_HEADER_BYTES - start.length() - "\r\n".length();
        int minLast = "X-Last: v\r\n".length();
        int count = otherLines.isEmpty() ? 0 : (left - minLast) / otherLines.length();
        int last = left - count * otherLines.length() - minLast;
        return start + otherLines.repeat(count) + "X-Last: v" + "v".repeat(last) + "\r\n\r\n";
    }

    private static byte[] body(int bytes) {
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) 'x');
        return body;
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
