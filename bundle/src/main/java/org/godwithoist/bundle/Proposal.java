package org.godwithoist.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;

/**
 * A bundle on its way to be rolled. Immutable.
 *
 * @param revision revision that it wants to become
 * @param manifest name of its manifest
 * @param author the author's signature
 * @param signer the signer's signature, from the stage signed on
 * @param events stages reached, oldest first; empty for a draft
 */
public record Proposal(
        long revision,
        ContentHash manifest,
        OperatorSignature author,
        Optional<OperatorSignature> signer,
        List<StageEvent> events) {
    /** Copies the list. */
    public Proposal {
        events = List.copyOf(events);
    }

    /** Makes a draft. */
    public static Proposal draft(long revision, ContentHash manifest, OperatorSignature author) {
        return new Proposal(revision, manifest, author, Optional.empty(), List.of());
    }

    /** Returns the id. */
    public ProposalId id() {
        return ProposalId.of(revision, manifest);
    }

    /** Returns the stage reached. */
    public Stage stage() {
        return events.isEmpty() ? Stage.DRAFT : events.getLast().stage();
    }

    /** Returns whether this attempt took the proposal to a stage. */
    public boolean hasAttempt(String attempt) {
        return events.stream().anyMatch(e -> e.attempt().equals(attempt));
    }

    /**
     * Returns the proposal at the next stage.
     *
     * @throws RequestException with {@code CONFLICT} if the event's stage is not the next one, with
     *     {@code FORBIDDEN} if the operator may not do this
     */
    public Proposal advance(StageEvent event) {
        if (!stage().next().equals(Optional.of(event.stage()))) {
            String last = events.isEmpty() ? "" : " by " + events.getLast().operator();
            throw RequestException.notRun(
                    ErrorCode.CONFLICT,
                    "proposal "
                            + id()
                            + " is already "
                            + stage().wireName()
                            + last
                            + " and cannot become "
                            + event.stage().wireName());
        }
        stage().refusal(this, event.operator())
                .ifPresent(
                        reason -> {
                            throw RequestException.notRun(ErrorCode.FORBIDDEN, reason);
                        });
        List<StageEvent> next = new ArrayList<>(events);
        next.add(event);
        return new Proposal(revision, manifest, author, signer, next);
    }

    /** Returns a copy with the signer's signature. */
    public Proposal withSigner(OperatorSignature signature) {
        return new Proposal(revision, manifest, author, Optional.of(signature), events);
    }

    /**
     * Returns the head that rolling the proposal puts in force.
     *
     * @throws RequestException with {@code CONFLICT} if it is not signed
     */
    public Head head() {
        return new Head(
                revision,
                manifest,
                author,
                signer.orElseThrow(
                        () ->
                                RequestException.notRun(
                                        ErrorCode.CONFLICT,
                                        "proposal " + id() + " is not signed")));
    }
}
