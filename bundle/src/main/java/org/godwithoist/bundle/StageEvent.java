package org.godwithoist.bundle;

import java.time.Instant;
import org.godwithoist.core.id.OperatorName;

/**
 * A proposal reached a stage.
 *
 * @param stage the stage reached
 * @param operator who took it there
 * @param at wall-clock time at the daemon that wrote it; shown to people, never compared
 * @param attempt random text of this attempt; tells an own write from another's after a lost answer
 */
public record StageEvent(Stage stage, OperatorName operator, Instant at, String attempt) {}
