/** Small stand-ins for the outside systems; each runs as a process of its own. */
package org.godwithoist.standins;
