/**
 * Signals of the operating system. A module of its own, because the JDK has no supported interface
 * for them and javac warns of the unsupported one.
 */
package org.godwithoist.signals;
