/**
 * Requests to plain services: at-most-once claims, slots, retries of safe requests and run states.
 */
package org.godwithoist.services;
