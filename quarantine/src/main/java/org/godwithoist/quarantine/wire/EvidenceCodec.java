package org.godwithoist.quarantine.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.godwithoist.quarantine.CrashId;
import org.godwithoist.quarantine.CrashReport;
import org.godwithoist.quarantine.SuspectEvidence;
import org.godwithoist.quarantine.SuspectId;
import org.godwithoist.targets.PrefixKey;

/**
 * Encodes the evidence against one suspect: the id, whether the suspect was answered, the crashes
 * with their ages in milliseconds and the hashes of their prompts, and the cleared crashes.
 */
public final class EvidenceCodec {
    private static final int MAX_CRASHES = 8;
    private static final int MAX_CLEARED = 16;

    private EvidenceCodec() {}

    /** Writes the evidence against one suspect; crashes beyond the maximum number are left out. */
    public static void write(SuspectEvidence evidence, DataOutputStream out) throws IOException {
        out.writeUTF(evidence.suspectId().value());
        out.writeBoolean(evidence.answered());
        out.writeByte(Math.min(MAX_CRASHES, evidence.crashes().size()));
        int crashes = 0;
        for (Map.Entry<CrashId, CrashReport> c : evidence.crashes().entrySet()) {
            if (crashes++ < MAX_CRASHES) {
                out.writeLong(c.getKey().hash());
                CrashReport report = c.getValue();
                out.writeInt(Math.clamp(report.age().toMillis(), 0, Integer.MAX_VALUE));
                out.writeLong(report.prompt().hash());
            }
        }
        out.writeByte(Math.min(MAX_CLEARED, evidence.cleared().size()));
        int cleared = 0;
        for (CrashId id : evidence.cleared()) {
            if (cleared++ < MAX_CLEARED) {
                out.writeLong(id.hash());
            }
        }
    }

    /**
     * Reads the evidence against one suspect.
     *
     * @throws IOException if the bytes end early or a value is out of its range
     */
    public static SuspectEvidence read(DataInputStream in) throws IOException {
        SuspectId suspectId = SuspectId.decode(in.readUTF());
        boolean answered = in.readBoolean();
        Map<CrashId, CrashReport> crashes = new HashMap<>();
        for (int remaining = readCount(in, MAX_CRASHES); remaining > 0; remaining--) {
            CrashId id = new CrashId(in.readLong());
            int ageMs = in.readInt();
            if (ageMs < 0) {
                throw new IOException("the age of a crash is negative: " + ageMs + " ms");
            }
            PrefixKey prompt = new PrefixKey(in.readLong());
            crashes.put(id, new CrashReport(Duration.ofMillis(ageMs), prompt));
        }
        Set<CrashId> cleared = new HashSet<>();
        for (int remaining = readCount(in, MAX_CLEARED); remaining > 0; remaining--) {
            cleared.add(new CrashId(in.readLong()));
        }
        return new SuspectEvidence(suspectId, answered, crashes, cleared);
    }

    private static int readCount(DataInputStream in, int max) throws IOException {
        int count = in.readUnsignedByte();
        if (count > max) {
            throw new IOException(
                    "expected at most " + max + " crashes of a suspect, found " + count);
        }
        return count;
    }
}
