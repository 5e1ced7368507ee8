/** Routing of chats: candidate ranking, placement directory and cost estimates of targets. */
package org.godwithoist.routing;
