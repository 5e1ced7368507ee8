/** Tasks on virtual threads, and blocking waits for asynchronous results. */
package org.godwithoist.core.task;
