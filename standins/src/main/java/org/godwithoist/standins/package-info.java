/** Stand-ins for external systems. Each runs as a separate process. */
package org.godwithoist.standins;
