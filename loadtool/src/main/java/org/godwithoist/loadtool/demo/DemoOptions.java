package org.godwithoist.loadtool.demo;

import org.godwithoist.loadtool.trace.Deployment;

/**
 * Options of the demonstration.
 *
 * @param deployment which of the two deployments
 * @param seconds time for which the load runs
 * @param chats chats in the trace
 * @param seed seed of the trace
 */
record DemoOptions(Deployment deployment, int seconds, int chats, long seed) {}
