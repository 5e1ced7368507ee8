/**
 * Stand-ins for the systems that an edge daemon talks to on the platform, as described by the
 * platform's protocol: the row store, runners with injectable faults, and a client.
 */
package org.godwithoist.standins.edge;
