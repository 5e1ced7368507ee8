/**
 * Poison prompts: finds the prompt parts under which targets crash and keeps requests with them
 * away from all targets.
 */
package org.godwithoist.quarantine;
