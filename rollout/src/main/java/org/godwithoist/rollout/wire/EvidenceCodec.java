package org.godwithoist.rollout.wire;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.rollout.Counts;
import org.godwithoist.rollout.Evidence;
import org.godwithoist.rollout.LatencyHistogram;
import org.godwithoist.rollout.Release;
import org.godwithoist.rollout.fleet.RouteNames;

/**
 * Encodes evidence: for each route its name and the counts of both releases. Counts take seven bits
 * a byte; of a histogram, only the buckets that are not empty are sent.
 */
final class EvidenceCodec {
    /** Size of the largest count, which takes 5 bytes; larger ones are cut to it. */
    private static final int MAX_COUNT_BITS = 35;

    private static final long MAX_COUNT = (1L << MAX_COUNT_BITS) - 1;

    /** Bytes of a route without latencies, at most: the name, and 5 counts of both releases. */
    private static final int MAX_ROUTE_BYTES = 1 + RouteNames.MAX_BYTES + 2 * (5 * 5 + 2);

    private static final int VALUE_BITS = 7;
    private static final int VALUE_MASK = (1 << VALUE_BITS) - 1;
    private static final int CONTINUES = 1 << VALUE_BITS;

    private EvidenceCodec() {}

    /** Writes evidence; the latencies of routes with little traffic are left out beyond a size. */
    static void write(Evidence evidence, int maxBytes, DataOutputStream out) throws IOException {
        List<RouteId> routes =
                evidence.routes().stream()
                        .sorted(
                                Comparator.<RouteId>comparingLong(evidence::sent)
                                        .reversed()
                                        .thenComparing(RouteId::value))
                        .toList();
        out.writeByte(routes.size());
        int left = maxBytes - 1;
        for (int i = 0; i < routes.size(); i++) {
            int reserved = (routes.size() - 1 - i) * MAX_ROUTE_BYTES;
            byte[] whole = encode(evidence, routes.get(i), true);
            boolean fits = whole.length <= left - reserved;
            byte[] bytes = fits ? whole : encode(evidence, routes.get(i), false);
            out.write(bytes);
            left -= bytes.length;
        }
    }

    private static byte[] encode(Evidence evidence, RouteId route, boolean withLatencies)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        byte[] name = RouteNames.shortened(route).value().getBytes(StandardCharsets.UTF_8);
        out.writeByte(name.length);
        out.write(name);
        for (Release release : Release.values()) {
            writeCounts(evidence.counts(route, release), withLatencies, out);
        }
        return bytes.toByteArray();
    }

    private static void writeCounts(Counts counts, boolean withLatencies, DataOutputStream out)
            throws IOException {
        writeCount(counts.sent(), out);
        writeCount(counts.answers(), out);
        writeCount(counts.failures(), out);
        writeCount(counts.cancelled(), out);
        writeCount(counts.ended(), out);
        int filled = 0;
        for (int i = 0; withLatencies && i < LatencyHistogram.BUCKETS; i++) {
            filled |= counts.latencies().count(i) > 0 ? 1 << i : 0;
        }
        out.writeShort(filled);
        for (int i = 0; i < LatencyHistogram.BUCKETS; i++) {
            if ((filled & 1 << i) != 0) {
                writeCount(counts.latencies().count(i), out);
            }
        }
    }

    /**
     * Reads evidence.
     *
     * @throws IOException if the bytes end early or there are too many routes
     */
    static Evidence read(DataInputStream in) throws IOException {
        int routes = in.readUnsignedByte();
        if (routes > Evidence.MAX_ROUTES) {
            throw new IOException("evidence of too many routes: " + routes);
        }
        Evidence sum = Evidence.NONE;
        for (int i = 0; i < routes; i++) {
            byte[] name = new byte[in.readUnsignedByte()];
            in.readFully(name);
            RouteId route = new RouteId(new String(name, StandardCharsets.UTF_8));
            for (Release release : Release.values()) {
                sum = sum.plus(Evidence.of(route, release, readCounts(in)));
            }
        }
        return sum;
    }

    private static Counts readCounts(DataInputStream in) throws IOException {
        long sent = readCount(in);
        long answers = readCount(in);
        long failures = readCount(in);
        long cancelled = readCount(in);
        long ended = readCount(in);
        long[] latencies = new long[LatencyHistogram.BUCKETS];
        int filled = in.readUnsignedShort();
        for (int i = 0; i < latencies.length; i++) {
            latencies[i] = (filled & 1 << i) != 0 ? readCount(in) : 0;
        }
        return new Counts(
                sent, answers, failures, cancelled, ended, LatencyHistogram.of(latencies));
    }

    private static void writeCount(long count, DataOutputStream out) throws IOException {
        long rest = Math.min(MAX_COUNT, count);
        while (rest > VALUE_MASK) {
            out.writeByte((int) (rest & VALUE_MASK) | CONTINUES);
            rest >>= VALUE_BITS;
        }
        out.writeByte((int) rest);
    }

    private static long readCount(DataInputStream in) throws IOException {
        long count = 0;
        for (int shift = 0; shift < MAX_COUNT_BITS; shift += VALUE_BITS) {
            int next = in.readUnsignedByte();
            count |= (long) (next & VALUE_MASK) << shift;
            if ((next & CONTINUES) == 0) {
                return count;
            }
        }
        throw new IOException("a count is too large");
    }
}
