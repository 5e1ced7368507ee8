/** Seeded traces of returning chats. */
package org.godwithoist.loadtool.trace;
