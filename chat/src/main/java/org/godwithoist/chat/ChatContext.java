package org.godwithoist.chat;

import java.util.function.Supplier;
import org.godwithoist.accounting.UsageRecorder;
import org.godwithoist.admission.Admission;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.TargetDirectory;
import org.godwithoist.routing.Placements;
import org.godwithoist.routing.Router;

/**
 * Collaborators that serve chat requests.
 *
 * @param self host of this daemon
 * @param bundle bundle in force
 * @param targets targets known to this daemon
 * @param admission grants slots
 * @param engines client of the engines
 * @param usage records the usage reported by engines
 * @param router chooses engines
 * @param placements engines that served each chat
 * @param ticker clock of the deadlines
 * @param timings timeouts of a request
 * @param observer receives the outcome of each request
 */
public record ChatContext(
        HostId self,
        Supplier<Bundle> bundle,
        TargetDirectory targets,
        Admission admission,
        EngineClient engines,
        UsageRecorder usage,
        Router router,
        Placements placements,
        Ticker ticker,
        ChatTimings timings,
        ChatOutcome.Observer observer) {}
