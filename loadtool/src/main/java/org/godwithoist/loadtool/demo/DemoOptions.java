package org.godwithoist.loadtool.demo;

import java.nio.file.Path;
import org.godwithoist.loadtool.trace.Deployment;

/**
 * Options of the demonstration.
 *
 * @param deployment which of the two deployments
 * @param seconds time for which the load runs
 * @param chats chats in the trace
 * @param seed seed of the trace
 * @param burnHtml file for the burn report, or null for none
 */
record DemoOptions(Deployment deployment, int seconds, int chats, long seed, Path burnHtml) {}
