package org.godwithoist.services;

/**
 * A header of a request or a response.
 *
 * @param name name as received
 * @param value value as received
 */
public record Header(String name, String value) {}
