package org.godwithoist.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.godwithoist.core.id.TargetId;

/**
 * Preferred targets of a pool for every bucket of chats, precomputed by rendezvous hashing.
 *
 * <p>The hash of a chat id selects a bucket, so a lookup takes the same time for any number of
 * targets. The number of buckets is fixed; a target that joins or leaves therefore changes the
 * first choice only of the buckets that it wins or loses. Immutable.
 */
public final class CandidateTable {
    /**
     * Candidates per bucket; enough that most buckets keep one while most failure domains are out
     * of service.
     */
    public static final int WIDTH = 8;

    /** At 10,000 targets there are 6.5 buckets per target, so that few targets have none. */
    static final int BUCKETS = 1 << 16;

    private static final int MAX_TARGETS = Character.MAX_VALUE;
    private static final char NONE = Character.MAX_VALUE;
    private static final long BUCKET_SALT = 0x9e3779b97f4a7c15L;

    private final List<TargetId> members;
    private final long[] hashes;
    private final char[] candidates;

    private CandidateTable(List<TargetId> members, long[] hashes, char[] candidates) {
        this.members = members;
        this.hashes = hashes;
        this.candidates = candidates;
    }

    /** Returns a table without targets. */
    public static CandidateTable empty() {
        char[] none = new char[BUCKETS * WIDTH];
        Arrays.fill(none, NONE);
        return new CandidateTable(List.of(), new long[0], none);
    }

    /** Returns the targets of the table in id order. */
    public List<TargetId> members() {
        return members;
    }

    /** Returns the bucket of a chat from the hash of its id. */
    public static int bucket(long chatHash) {
        return (int) (chatHash & (BUCKETS - 1));
    }

    /**
     * Returns a candidate of a bucket as its index in {@link #members()}, or -1 if there are fewer.
     *
     * @param place rank of the candidate, from 0 to {@link #WIDTH} - 1
     */
    int candidate(int bucket, int place) {
        char index = candidates[bucket * WIDTH + place];
        return index == NONE ? -1 : index;
    }

    /**
     * Returns a table with other targets. Only buckets that lose a candidate are ranked again;
     * added targets are inserted into the buckets that they win.
     *
     * @param next targets in id order, at most 65,534
     * @throws IllegalArgumentException if there are more targets
     */
    public CandidateTable withMembers(List<TargetId> next) {
        if (next.size() >= MAX_TARGETS) {
            throw new IllegalArgumentException("a pool has at most " + (MAX_TARGETS - 1));
        }
        List<TargetId> sorted = List.copyOf(next);
        Map<TargetId, Integer> oldIndex = new HashMap<>();
        for (int i = 0; i < members.size(); i++) {
            oldIndex.put(members.get(i), i);
        }
        char[] newIndex = new char[members.size()];
        Arrays.fill(newIndex, NONE);
        long[] newHashes = new long[sorted.size()];
        int[] added = new int[sorted.size()];
        int addedCount = 0;
        for (int i = 0; i < sorted.size(); i++) {
            Integer old = oldIndex.get(sorted.get(i));
            if (old == null) {
                newHashes[i] = RendezvousHash.hash(sorted.get(i).value());
                added[addedCount++] = i;
            } else {
                newHashes[i] = hashes[old];
                newIndex[old] = (char) i;
            }
        }
        int[] all = new int[sorted.size()];
        Arrays.setAll(all, i -> i);
        int[] joined = Arrays.copyOf(added, addedCount);
        Ranking ranking = new Ranking(newHashes);
        char[] out = new char[BUCKETS * WIDTH];
        for (int b = 0; b < BUCKETS; b++) {
            boolean kept = ranking.load(b, candidates, newIndex);
            if (!kept) {
                ranking.clear(b);
            }
            ranking.insertAll(kept ? joined : all);
            ranking.store(out);
        }
        return new CandidateTable(sorted, newHashes, out);
    }

    /** Candidates of one bucket during ranking. */
    private static final class Ranking {
        private final long[] hashes;
        private final char[] index = new char[WIDTH];
        private final long[] scores = new long[WIDTH];
        private int bucket;
        private int size;
        private long bucketHash;

        Ranking(long[] hashes) {
            this.hashes = hashes;
        }

        void clear(int newBucket) {
            bucket = newBucket;
            bucketHash = RendezvousHash.score(newBucket, BUCKET_SALT);
            size = 0;
        }

        /** Loads the previous candidates; returns false if one of them was removed. */
        boolean load(int newBucket, char[] old, char[] newIndex) {
            clear(newBucket);
            for (int i = 0; i < WIDTH && old[newBucket * WIDTH + i] != NONE; i++) {
                char moved = newIndex[old[newBucket * WIDTH + i]];
                if (moved == NONE) {
                    return false;
                }
                index[size] = moved;
                scores[size++] = RendezvousHash.score(bucketHash, hashes[moved]);
            }
            return true;
        }

        void insertAll(int[] joined) {
            for (int i : joined) {
                long score = RendezvousHash.score(bucketHash, hashes[i]);
                if (size < WIDTH || score > scores[size - 1]) {
                    insert((char) i, score);
                }
            }
        }

        private void insert(char target, long score) {
            int at = size < WIDTH ? size++ : WIDTH - 1;
            while (at > 0 && scores[at - 1] < score) {
                scores[at] = scores[at - 1];
                index[at] = index[at - 1];
                at--;
            }
            scores[at] = score;
            index[at] = target;
        }

        void store(char[] out) {
            for (int i = 0; i < WIDTH; i++) {
                out[bucket * WIDTH + i] = i < size ? index[i] : NONE;
            }
        }
    }
}
