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
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;

/**
 * Encodes and decodes requests and responses. A request consists of a version byte, the table, the
 * member's version of the store (era and number) and the maximum wait in milliseconds. A response
 * consists of a version byte, whether the leader has an up-to-date copy, the version of the store,
 * the number of rows, and the rows. Messages of version 1 had no era and are rejected. Rows are
 * compressed, because the configuration is sent to all daemons of a failure domain over the link of
 * one host. Hand-written, because a protobuf runtime would add about 1 MB to each daemon.
 */
final class RelayCodec {
    /** Maximum size of a request. */
    static final int MAX_REQUEST_BYTES = 1024;

    /** Maximum size of a response. */
    static final int MAX_RESPONSE_BYTES = 4 << 20;

    /**
     * Maximum size of all rows of a response, uncompressed. A leader keeps fewer bytes; compressed
     * bytes that decode to much more would use up the memory of a member.
     */
    static final int MAX_ROWS_BYTES = 4 << 20;

    /** Size that a row adds to its key and value, in bytes. */
    private static final int ROW_OVERHEAD_BYTES = 64;

    private static final int VERSION = 2;

    private RelayCodec() {}

    static byte[] encode(RelayClient.Request request) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(VERSION);
        out.writeUTF(request.table().value());
        writeVersion(request.after(), out);
        out.writeInt((int) request.maxWait().toMillis());
        return bytes.toByteArray();
    }

    /**
     * Decodes a request.
     *
     * @throws IOException if the bytes are not a valid request of this version
     */
    static RelayClient.Request decodeRequest(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        checkVersion(in);
        try {
            TableName table = new TableName(in.readUTF());
            StoreVersion after = readVersion(in);
            return new RelayClient.Request(table, after, Duration.ofMillis(in.readInt()));
        } catch (IllegalArgumentException e) {
            throw new IOException("malformed relay request: " + e.getMessage(), e);
        }
    }

    /**
     * Encodes a response.
     *
     * @param page changes; empty if this daemon has no up-to-date copy of the table
     */
    static byte[] encode(Optional<FeedPage> page) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(VERSION);
        out.writeBoolean(page.isPresent());
        if (page.isPresent()) {
            writeVersion(page.get().version(), out);
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
     * Decodes a response.
     *
     * @return changes; empty if the leader has no up-to-date copy of the table
     * @throws IOException if the bytes are not a valid response of this version
     */
    static Optional<FeedPage> decodeResponse(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        checkVersion(in);
        if (!in.readBoolean()) {
            return Optional.empty();
        }
        StoreVersion version = readVersion(in);
        int count = in.readInt();
        List<FeedRow> rows = new ArrayList<>();
        DataInputStream rowsIn = new DataInputStream(new InflaterInputStream(in));
        int remainingBytes = MAX_ROWS_BYTES;
        for (int i = 0; i < count; i++) {
            FeedRow row = decodeRow(rowsIn, remainingBytes);
            remainingBytes -= ROW_OVERHEAD_BYTES + row.key().length() + row.value().length;
            rows.add(row);
        }
        return Optional.of(new FeedPage(rows, version));
    }

    private static FeedRow decodeRow(DataInputStream in, int maxBytes) throws IOException {
        String key = in.readUTF();
        long version = in.readLong();
        boolean deleted = in.readBoolean();
        int length = in.readInt();
        if (length < 0 || length > maxBytes) {
            throw new IOException(
                    "row '" + key + "' has an invalid length of " + length + " bytes");
        }
        byte[] value = new byte[length];
        in.readFully(value);
        return new FeedRow(key, value, version, deleted);
    }

    private static void writeVersion(StoreVersion version, DataOutputStream out)
            throws IOException {
        out.writeLong(version.era().value());
        out.writeLong(version.number());
    }

    private static StoreVersion readVersion(DataInputStream in) throws IOException {
        return new StoreVersion(new StoreEra(in.readLong()), in.readLong());
    }

    private static void checkVersion(DataInputStream in) throws IOException {
        int version = in.readUnsignedByte();
        if (version != VERSION) {
            throw new IOException("relay message version " + version + " is not supported");
        }
    }
}
