/**
 * Spread of bundles between daemons: push, periodic exchange, fetch of parts, poll of the store.
 */
package org.godwithoist.bundle.wire;
