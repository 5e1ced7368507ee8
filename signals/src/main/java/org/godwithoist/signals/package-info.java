/**
 * Handling of operating system signals. This is a separate module, because the JDK has no supported
 * API for signals and javac warns about the unsupported one.
 */
package org.godwithoist.signals;
