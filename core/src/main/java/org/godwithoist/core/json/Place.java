package org.godwithoist.core.json;

/**
 * Where a value stands in a file.
 *
 * @param file name of the file as the operator gave it
 * @param line line number from 1
 * @param column column number from 1
 * @param path JSON pointer of the value, empty for the whole document
 */
public record Place(String file, int line, int column, String path) {
    @Override
    public String toString() {
        String at = file + ":" + line + ":" + column;
        return path.isEmpty() ? at : at + " " + path;
    }
}
