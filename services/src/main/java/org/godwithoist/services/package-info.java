/**
 * Calls to plain services: at-most-once claims, slots, retries of safe calls and true run states.
 */
package org.godwithoist.services;
