package org.godwithoist.rollout;

/**
 * Identifies who states evidence: one run of a daemon, or a leader that aggregates the evidence of
 * its failure domain.
 *
 * @param value text that is unique among the sources of an order
 */
public record EvidenceSource(String value) {
    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public EvidenceSource {
        if (value.isEmpty()) {
            throw new IllegalArgumentException("an evidence source must have a name");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
