package org.godwithoist.loadtool.demo;

import org.godwithoist.loadtool.trace.Deployment;

/**
 * Options of the demonstration.
 *
 * @param deployment deployment whose chats are sent
 * @param seconds approximate duration of the load
 * @param chats number of chats in the trace
 * @param seed seed of the trace
 */
record DemoOptions(Deployment deployment, int seconds, int chats, long seed) {}
