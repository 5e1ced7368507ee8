package org.godwithoist.quarantine;

import java.time.Duration;
import org.godwithoist.targets.PrefixKey;

/**
 * A crash that counts against a suspect.
 *
 * @param age time since the crash
 * @param prompt hash of all shared parts of the prompt
 */
public record CrashReport(Duration age, PrefixKey prompt) {}
