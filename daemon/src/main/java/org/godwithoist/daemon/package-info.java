/** The router daemon: wiring and lifecycle. */
package org.godwithoist.daemon;
