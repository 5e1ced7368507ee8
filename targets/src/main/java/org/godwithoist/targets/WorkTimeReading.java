package org.godwithoist.targets;

import java.time.Duration;

/**
 * How long work took on the host of a target at one moment.
 *
 * @param percent in percent of the usual time; 100 is usual, 250 two and a half times as long
 * @param age time since the target measured it
 */
public record WorkTimeReading(int percent, Duration age) {}
