package org.godwithoist.core.json;

/**
 * Location of a value in a file.
 *
 * @param file file name as given by the operator
 * @param line line number from 1
 * @param column column number from 1
 * @param path JSON pointer of the value; empty for the root of the document
 */
public record SourceLocation(String file, int line, int column, String path) {
    @Override
    public String toString() {
        String position = file + ":" + line + ":" + column;
        return path.isEmpty() ? position : position + " " + path;
    }
}
