/**
 * Load exchange between edge daemons: each daemon reports to the others several times a second how
 * many requests it has in progress at each target. Each report supersedes the previous one, so
 * messages are not acknowledged.
 */
package org.godwithoist.peers;
