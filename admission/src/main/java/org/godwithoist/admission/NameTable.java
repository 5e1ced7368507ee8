package org.godwithoist.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Name table of one direction of an exchange: numbers names in the order in which they were first
 * sent. Names added by a message are kept only once the message is known to have arrived. Not
 * thread-safe.
 */
final class NameTable {
    private final List<String> names = new ArrayList<>(List.of(""));
    private final Map<String, Integer> numbers = new HashMap<>(Map.of("", 0));
    private int committedSize = 1;

    /**
     * Returns the number of a name; 0 is the empty name. A new name gets the next number and is
     * appended to {@code added}.
     */
    int number(String name, List<String> added) {
        Integer known = numbers.get(name);
        if (known != null) {
            return known;
        }
        added.add(name);
        add(name);
        return names.size() - 1;
    }

    void add(String name) {
        numbers.put(name, names.size());
        names.add(name);
    }

    /**
     * Returns the name for a number received from the peer.
     *
     * @throws IllegalArgumentException if no name has the number
     */
    String name(int number) {
        if (number < 0 || number >= names.size()) {
            throw new IllegalArgumentException(
                    "the message uses a name number that is not in the name table: " + number);
        }
        return names.get(number);
    }

    void commit() {
        committedSize = names.size();
    }

    /** Removes the names that were added since the last commit. */
    void rollback() {
        while (names.size() > committedSize) {
            numbers.remove(names.removeLast());
        }
    }

    int size() {
        return names.size();
    }
}
