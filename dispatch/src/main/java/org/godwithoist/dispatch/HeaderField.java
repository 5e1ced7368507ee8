package org.godwithoist.dispatch;

/**
 * A header field that is forwarded unchanged.
 *
 * @param name name as received
 * @param value value without surrounding white space
 */
public record HeaderField(String name, String value) {}
