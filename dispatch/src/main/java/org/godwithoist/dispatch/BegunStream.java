package org.godwithoist.dispatch;

/**
 * An event stream of which the caller was sent a part.
 *
 * @param response the response, to which the next attempt adds
 * @param isResumable whether a target can go on exactly after what the caller was sent
 */
public record BegunStream(BegunResponse response, boolean isResumable) {}
