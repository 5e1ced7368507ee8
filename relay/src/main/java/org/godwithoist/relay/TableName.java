package org.godwithoist.relay;

/**
 * Name of a relayed table.
 *
 * @param value name, not empty; the same on all daemons
 */
public record TableName(String value) {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if it is empty
     */
    public TableName {
        if (value.isEmpty()) {
            throw new IllegalArgumentException("table name must not be empty");
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TableName o && value.equals(o.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
