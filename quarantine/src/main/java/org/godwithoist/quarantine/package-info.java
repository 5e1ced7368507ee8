/**
 * Poison requests: finds the prompt parts and requests under which targets crash and keeps them
 * away from all targets.
 */
package org.godwithoist.quarantine;
