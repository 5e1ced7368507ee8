package org.godwithoist.relay.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.godwithoist.relay.RelayClient;
import org.godwithoist.relay.TableName;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;

/**
 * Encodes questions and answers. A question is a version byte, the table, the version known and the
 * wait in milliseconds. An answer is a version byte, whether the leader can tell, the version, the
 * number of rows, and the rows, compressed: a configuration goes to all daemons of a failure domain
 * over the link of one host. Written by hand, as the messages of {@code peers}.
 */
final class RelayCodec {
    /** Longest question in bytes. */
    static final int QUESTION_BYTES = 1024;

    /** Longest answer in bytes. */
    static final int ANSWER_BYTES = 4 << 20;

    /** Longest value of a row in bytes, as it is read. */
    private static final int ROW_BYTES = 4 << 20;

    private static final int VERSION = 1;

    private RelayCodec() {}

    static byte[] encode(RelayClient.Question question) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(VERSION);
        out.writeUTF(question.table().value());
        out.writeLong(question.after());
        out.writeInt((int) question.longestWait().toMillis());
        return bytes.toByteArray();
    }

    /**
     * Decodes a question.
     *
     * @throws IOException if the bytes are none of this version
     */
    static RelayClient.Question question(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        checkVersion(in);
        try {
            TableName table = new TableName(in.readUTF());
            long after = in.readLong();
            return new RelayClient.Question(table, after, Duration.ofMillis(in.readInt()));
        } catch (IllegalArgumentException e) {
            throw new IOException("question: " + e.getMessage(), e);
        }
    }

    /**
     * Encodes an answer.
     *
     * @param page changes; empty if this daemon cannot tell
     */
    static byte[] encode(Optional<FeedPage> page) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(VERSION);
        out.writeBoolean(page.isPresent());
        if (page.isPresent()) {
            out.writeLong(page.get().version());
            out.writeInt(page.get().rows().size());
            writeRows(page.get().rows(), out);
        }
        return bytes.toByteArray();
    }

    private static void writeRows(List<FeedRow> rows, OutputStream bytes) throws IOException {
        if (rows.isEmpty()) {
            return;
        }
        try (DataOutputStream out = new DataOutputStream(new DeflaterOutputStream(bytes))) {
            for (FeedRow row : rows) {
                out.writeUTF(row.key());
                out.writeLong(row.version());
                out.writeBoolean(row.deleted());
                out.writeInt(row.value().length);
                out.write(row.value());
            }
        }
    }

    /**
     * Decodes an answer.
     *
     * @return changes; empty if the leader cannot tell
     * @throws IOException if the bytes are none of this version
     */
    static Optional<FeedPage> answer(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        checkVersion(in);
        if (!in.readBoolean()) {
            return Optional.empty();
        }
        long version = in.readLong();
        int count = in.readInt();
        List<FeedRow> rows = new ArrayList<>();
        DataInputStream rest = new DataInputStream(new InflaterInputStream(in));
        for (int i = 0; i < count; i++) {
            rows.add(row(rest));
        }
        return Optional.of(new FeedPage(rows, version));
    }

    private static FeedRow row(DataInputStream in) throws IOException {
        String key = in.readUTF();
        long version = in.readLong();
        boolean gone = in.readBoolean();
        int length = in.readInt();
        if (length < 0 || length > ROW_BYTES) {
            throw new IOException("row '" + key + "' has " + length + " bytes");
        }
        byte[] value = new byte[length];
        in.readFully(value);
        return new FeedRow(key, value, version, gone);
    }

    private static void checkVersion(DataInputStream in) throws IOException {
        int version = in.readUnsignedByte();
        if (version != VERSION) {
            throw new IOException("version " + version + " is not known");
        }
    }
}
