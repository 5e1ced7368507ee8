package org.godwithoist.bundle;

import java.time.Instant;
import org.godwithoist.core.id.OperatorName;

/**
 * Event in which a proposal reached a stage.
 *
 * @param stage stage that was reached
 * @param operator operator who advanced the proposal
 * @param at wall-clock time of the daemon that wrote the event; for display only, never compared
 * @param attempt random id of the write; identifies this daemon's write after a lost response
 */
public record StageEvent(Stage stage, OperatorName operator, Instant at, String attempt) {}
