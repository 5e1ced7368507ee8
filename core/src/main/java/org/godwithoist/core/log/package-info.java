/** Structured logging that never blocks the calling thread. */
package org.godwithoist.core.log;
