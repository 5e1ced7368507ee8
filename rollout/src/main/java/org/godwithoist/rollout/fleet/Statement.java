package org.godwithoist.rollout.fleet;

/**
 * Identifies a statement of an order's leader, so that a relayed one is told from a new one however
 * long it was under way.
 *
 * @param term fencing number of the leader's lease
 * @param number increases with each statement of a leader
 */
public record Statement(long term, long number) implements Comparable<Statement> {
    /** No statement. */
    public static final Statement NONE = new Statement(0, 0);

    @Override
    public int compareTo(Statement other) {
        int byTerm = Long.compare(term, other.term);
        return byTerm != 0 ? byTerm : Long.compare(number, other.number);
    }
}
