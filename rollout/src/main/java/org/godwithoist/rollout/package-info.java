/**
 * Progressive delivery: how much of a service's traffic goes to a new version, when the share
 * rises, and when the version is completed or reverted. Encodings of rows and messages stand
 * elsewhere.
 */
package org.godwithoist.rollout;
