/** Virtual-thread tasks and the bridge from asynchronous results to straight-line code. */
package org.godwithoist.core.task;
