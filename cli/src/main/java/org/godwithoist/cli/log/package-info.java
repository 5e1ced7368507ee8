/** Analysis of edge daemon logs: the trace of one request and a summary of all requests. */
package org.godwithoist.cli.log;
