/**
 * Stand-ins for external systems, with injectable faults. {@link
 * org.godwithoist.standins.StandinMain} runs one as a separate process; tests can also run them in
 * their own process.
 */
package org.godwithoist.standins;
