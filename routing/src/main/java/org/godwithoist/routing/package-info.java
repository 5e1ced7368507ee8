/** Chooses the target to which a chat should go. */
package org.godwithoist.routing;
