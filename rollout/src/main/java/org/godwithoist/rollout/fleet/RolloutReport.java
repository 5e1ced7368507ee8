package org.godwithoist.rollout.fleet;

import java.time.Duration;
import org.godwithoist.rollout.Evidence;
import org.godwithoist.rollout.OrderId;
import org.godwithoist.rollout.Progress;
import org.godwithoist.targets.PeerLoads;

/**
 * What one daemon reports of an order. The evidence is counted since the order, so that a lost
 * message loses nothing.
 *
 * @param service service of the order
 * @param order the order
 * @param incarnation start time of the reporting daemon
 * @param sequence increases with each report of an incarnation
 * @param scope daemons whose evidence is counted
 * @param statement last statement of the leader that the daemon knows
 * @param leaderAge time since the leader of the order stated the progress
 * @param orderAge time since the order, as far as the daemon knows
 * @param progress progress of the order, as the daemon knows it
 * @param evidence evidence of the scope
 */
public record RolloutReport(
        ServiceKey service,
        OrderId order,
        long incarnation,
        long sequence,
        PeerLoads.Scope scope,
        Statement statement,
        Duration leaderAge,
        Duration orderAge,
        Progress progress,
        Evidence evidence) {}
