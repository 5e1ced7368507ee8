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
    public static final int CANDIDATES_PER_BUCKET = 8;

    /** Power of two. At 10,000 targets there are 6.5 buckets per target, so that few have none. */
    static final int BUCKET_COUNT = 1 << 16;

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
        char[] none = new char[BUCKET_COUNT * CANDIDATES_PER_BUCKET];
        Arrays.fill(none, NONE);
        return new CandidateTable(List.of(), new long[0], none);
    }

    /** Returns the targets of the table in id order. */
    public List<TargetId> members() {
        return members;
    }

    /** Returns the bucket of a chat from the hash of its id. */
    public static int bucket(long chatHash) {
        return (int) (chatHash & (BUCKET_COUNT - 1));
    }

    /**
     * Returns a candidate of a bucket as its index in {@link #members()}, or -1 if there are fewer.
     *
     * @param rank rank of the candidate, from 0 to {@link #CANDIDATES_PER_BUCKET} - 1
     */
    int candidate(int bucket, int rank) {
        char index = candidates[bucket * CANDIDATES_PER_BUCKET + rank];
        return index == NONE ? -1 : index;
    }

    /**
     * Returns a table with other targets. Only buckets that lose a candidate are ranked again;
     * added targets are inserted into the buckets that they win.
     *
     * @param targets targets in id order, at most 65,534
     * @throws IllegalArgumentException if there are more targets
     */
    public CandidateTable withMembers(List<TargetId> targets) {
        if (targets.size() >= MAX_TARGETS) {
            throw new IllegalArgumentException(
                    "too many targets in one pool; the maximum is " + (MAX_TARGETS - 1));
        }
        List<TargetId> newMembers = List.copyOf(targets);
        Map<TargetId, Integer> oldIndex = new HashMap<>();
        for (int i = 0; i < members.size(); i++) {
            oldIndex.put(members.get(i), i);
        }
        char[] newIndex = new char[members.size()];
        Arrays.fill(newIndex, NONE);
        long[] newHashes = new long[newMembers.size()];
        int[] added = new int[newMembers.size()];
        int addedCount = 0;
        for (int i = 0; i < newMembers.size(); i++) {
            Integer old = oldIndex.get(newMembers.get(i));
            if (old == null) {
                newHashes[i] = RendezvousHash.hash(newMembers.get(i).value());
                added[addedCount++] = i;
            } else {
                newHashes[i] = hashes[old];
                newIndex[old] = (char) i;
            }
        }
        int[] allIndexes = new int[newMembers.size()];
        Arrays.setAll(allIndexes, i -> i);
        int[] addedIndexes = Arrays.copyOf(added, addedCount);
        Ranking ranking = new Ranking(newHashes);
        char[] newCandidates = new char[BUCKET_COUNT * CANDIDATES_PER_BUCKET];
        for (int b = 0; b < BUCKET_COUNT; b++) {
            boolean retained = ranking.load(b, candidates, newIndex);
            if (!retained) {
                ranking.clear(b);
            }
            ranking.insertAll(retained ? addedIndexes : allIndexes);
            ranking.store(newCandidates);
        }
        return new CandidateTable(newMembers, newHashes, newCandidates);
    }

    /** Candidates of one bucket during ranking. */
    private static final class Ranking {
        private final long[] hashes;
        private final char[] index = new char[CANDIDATES_PER_BUCKET];
        private final long[] scores = new long[CANDIDATES_PER_BUCKET];
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
        boolean load(int newBucket, char[] oldCandidates, char[] newIndex) {
            clear(newBucket);
            for (int i = 0;
                    i < CANDIDATES_PER_BUCKET
                            && oldCandidates[newBucket * CANDIDATES_PER_BUCKET + i] != NONE;
                    i++) {
                char position = newIndex[oldCandidates[newBucket * CANDIDATES_PER_BUCKET + i]];
                if (position == NONE) {
                    return false;
                }
                index[size] = position;
                scores[size++] = RendezvousHash.score(bucketHash, hashes[position]);
            }
            return true;
        }

        void insertAll(int[] indexes) {
            for (int i : indexes) {
                long score = RendezvousHash.score(bucketHash, hashes[i]);
                if (size < CANDIDATES_PER_BUCKET || score > scores[size - 1]) {
                    insert((char) i, score);
                }
            }
        }

        private void insert(char target, long score) {
            int rank = size < CANDIDATES_PER_BUCKET ? size++ : CANDIDATES_PER_BUCKET - 1;
            while (rank > 0 && scores[rank - 1] < score) {
                scores[rank] = scores[rank - 1];
                index[rank] = index[rank - 1];
                rank--;
            }
            scores[rank] = score;
            index[rank] = target;
        }

        void store(char[] newCandidates) {
            for (int i = 0; i < CANDIDATES_PER_BUCKET; i++) {
                newCandidates[bucket * CANDIDATES_PER_BUCKET + i] = i < size ? index[i] : NONE;
            }
        }
    }
}
