/** Which target a chat should go to: ranking, placement directory, learned speeds and costs. */
package org.godwithoist.routing;
