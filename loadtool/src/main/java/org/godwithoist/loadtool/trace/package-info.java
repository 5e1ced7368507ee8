/** Reproducible traces of multi-turn chats. */
package org.godwithoist.loadtool.trace;
