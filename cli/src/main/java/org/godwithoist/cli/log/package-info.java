/** What the logs of edge daemons tell: the story of one call, and a summary of many. */
package org.godwithoist.cli.log;
