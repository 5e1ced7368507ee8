/**
 * Distribution of bundles between daemons: push, periodic exchange, fetching of parts, polling of
 * the store.
 */
package org.godwithoist.bundle.wire;
