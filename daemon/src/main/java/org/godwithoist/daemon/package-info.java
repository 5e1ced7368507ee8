/** Router daemon: wiring of the modules and lifecycle of the process. */
package org.godwithoist.daemon;
