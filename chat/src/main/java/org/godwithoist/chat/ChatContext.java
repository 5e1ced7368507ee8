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
 * The parts that a chat request uses.
 *
 * @param self host of this daemon
 * @param bundle bundle in force
 * @param targets targets that this daemon knows
 * @param admission gives slots
 * @param engines calls engines
 * @param usage takes what engines counted
 * @param router chooses engines
 * @param placements where chats were served
 * @param ticker clock of the deadlines
 * @param timings times of a request's life
 * @param observer takes how each request ended
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
