package org.godwithoist.bundle;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;

/**
 * Bundle proposed as a revision, with its review history. Immutable.
 *
 * @param revision revision number that it is proposed as
 * @param manifest hash of its manifest
 * @param author the author's signature
 * @param signer the signer's signature; empty before {@link Stage#SIGNED}
 * @param events stages reached, oldest first; empty for a draft
 */
public record Proposal(
        long revision,
        ContentHash manifest,
        OperatorSignature author,
        Optional<OperatorSignature> signer,
        List<StageEvent> events) {
    /** Makes an unmodifiable copy of the list. */
    public Proposal {
        events = List.copyOf(events);
    }

    /** Creates a proposal in stage {@link Stage#DRAFT}. */
    public static Proposal draft(long revision, ContentHash manifest, OperatorSignature author) {
        return new Proposal(revision, manifest, author, Optional.empty(), List.of());
    }

    /** Returns the id, which consists of the revision number and the start of the hash. */
    public ProposalId id() {
        return ProposalId.of(revision, manifest);
    }

    /** Returns the last stage reached. */
    public Stage stage() {
        return events.isEmpty() ? Stage.DRAFT : events.getLast().stage();
    }

    /** Returns whether one of the events was written by the given attempt. */
    public boolean hasAttempt(String attempt) {
        return events.stream().anyMatch(e -> e.attempt().equals(attempt));
    }

    /**
     * Returns a copy that has reached the next stage.
     *
     * @throws RequestException with {@code CONFLICT} if the event's stage is not the next one, with
     *     {@code FORBIDDEN} if the operator is not permitted to advance the proposal
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
        stage().denialReason(this, event.operator())
                .ifPresent(
                        reason -> {
                            throw RequestException.notRun(ErrorCode.FORBIDDEN, reason);
                        });
        List<StageEvent> next = new ArrayList<>(events);
        next.add(event);
        return new Proposal(revision, manifest, author, signer, next);
    }

    /** Returns a copy with the signer's signature; the caller verifies it. */
    public Proposal withSigner(OperatorSignature signature) {
        return new Proposal(revision, manifest, author, Optional.of(signature), events);
    }

    /**
     * Returns the head that takes effect when the proposal is rolled.
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
