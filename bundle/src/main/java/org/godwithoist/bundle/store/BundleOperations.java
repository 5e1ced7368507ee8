package org.godwithoist.bundle.store;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import org.godwithoist.bundle.BundleDiff;
import org.godwithoist.bundle.BundleParser;
import org.godwithoist.bundle.BundleReference;
import org.godwithoist.bundle.Change;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.bundle.Head;
import org.godwithoist.bundle.HeadPush;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.OperatorKeys;
import org.godwithoist.bundle.OperatorSignature;
import org.godwithoist.bundle.Proposal;
import org.godwithoist.bundle.ProposalId;
import org.godwithoist.bundle.Revision;
import org.godwithoist.bundle.SignatureRole;
import org.godwithoist.bundle.Stage;
import org.godwithoist.bundle.StageEvent;
import org.godwithoist.bundle.json.BundleSplit;
import org.godwithoist.bundle.store.BundleTables.Versioned;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.core.json.FindingsException;
import org.godwithoist.core.time.Ticker;

/**
 * Operations of operators on bundles. Methods block, so they should be called on virtual threads;
 * they throw {@link RequestException} or {@link FindingsException}. Thread-safe.
 */
public final class BundleOperations {
    private static final int MAX_HISTORY_LIMIT = 1_000;

    private final BundleTables tables;
    private final RevisionStore revisions;
    private final HeadState state;
    private final OperatorKeys keys;
    private final HeadPush push;
    private final InstantSource clock;

    /**
     * Creates the operations over the state of this daemon and the platform's stores.
     *
     * @param push puts a rolled head in force at this daemon and its peers
     * @param clock wall clock for the times in proposals
     */
    public BundleOperations(
            BundleTables tables,
            RevisionStore revisions,
            HeadState state,
            OperatorKeys keys,
            HeadPush push,
            InstantSource clock) {
        this.tables = tables;
        this.revisions = revisions;
        this.state = state;
        this.keys = keys;
        this.push = push;
        this.clock = clock;
    }

    /**
     * Valid bundle that is not stored.
     *
     * @param revision revision number that it can be submitted as, by this daemon's local view
     * @param manifest hash of its manifest, which author and signer sign
     * @param changes differences from the bundle in force; empty if none is in force
     */
    public record Draft(long revision, ContentHash manifest, List<Change> changes) {}

    /**
     * Result of rolling a proposal.
     *
     * @param head head written to the store
     * @param report members by whether the head is in force at them
     * @param storeTime time until the head row was written
     * @param totalTime time until all peers in contact had responded or timed out
     */
    public record Rolled(
            Head head, HeadPush.Report report, Duration storeTime, Duration totalTime) {}

    /**
     * Heads of this daemon and of the store, and the open proposals.
     *
     * @param inForce head in force at this daemon; empty if there is none
     * @param stored head in the store; empty if there is none or the store is unavailable
     * @param storeAvailable whether the store responded
     * @param open proposals for the next revision; empty if the store is unavailable
     */
    public record Status(
            Optional<Head> inForce,
            Optional<Head> stored,
            boolean storeAvailable,
            List<Proposal> open) {}

    // ---- stages

    /** Validates a bundle without accessing the store. */
    public Draft validate(String file, String text) {
        Revision revision = BundleSplit.split(BundleParser.parse(file, text));
        List<Change> changes =
                state.bundle().map(b -> BundleDiff.between(b, revision.bundle())).orElse(List.of());
        return new Draft(state.revisionNumber() + 1, revision.hash(), changes);
    }

    /**
     * Stores a bundle as a proposal in stage {@link Stage#SUBMITTED}.
     *
     * @param file file name used in findings
     * @param text JSON with comments
     * @param revision revision number in the author's signature; must be the next one
     * @param signature the author's signature in Base64
     */
    public Proposal submit(
            OperatorName author, String file, String text, long revision, String signature) {
        Revision content = BundleSplit.split(BundleParser.parse(file, text));
        OperatorSignature signed = new OperatorSignature(author, signature);
        checkSignature(signed, SignatureRole.AUTHOR, revision, content.hash(), author);
        checkNextRevision(revision, tables.head().value());
        Proposal p = Proposal.draft(revision, content.hash(), signed);
        revisions.save(content);
        Proposal submitted = p.advance(event(Stage.SUBMITTED, author));
        tables.advance(submitted, 0);
        return submitted;
    }

    /** Records that an operator other than the author has reviewed a proposal. */
    public Proposal review(OperatorName reviewer, ProposalId id) {
        Versioned<Proposal> p = tables.proposal(id);
        Proposal reviewed = p.value().advance(event(Stage.REVIEWED, reviewer));
        tables.advance(reviewed, p.version());
        return reviewed;
    }

    /**
     * Adds the signature of an operator other than the author to a reviewed proposal.
     *
     * @param signature the signer's signature in Base64
     */
    public Proposal sign(OperatorName signer, ProposalId id, String signature) {
        Versioned<Proposal> p = tables.proposal(id);
        Proposal signed = p.value().advance(event(Stage.SIGNED, signer));
        OperatorSignature by = new OperatorSignature(signer, signature);
        checkSignature(
                by,
                SignatureRole.SIGNER,
                signed.revision(),
                signed.manifest(),
                signed.author().operator());
        Proposal next = signed.withSigner(by);
        tables.advance(next, p.version());
        return next;
    }

    /**
     * Puts a signed proposal in force. All parts are loaded into memory before the head row is
     * written, so that peers can fetch them from this daemon even if the store fails afterwards.
     */
    public Rolled roll(OperatorName operator, ProposalId id) {
        long start = Ticker.SYSTEM.nanos();
        Versioned<Proposal> p = tables.proposal(id);
        Proposal rolled = p.value().advance(event(Stage.ROLLED, operator));
        Head head = rolled.head();
        keys.validationError(head)
                .ifPresent(
                        reason -> {
                            throw RequestException.notRun(ErrorCode.FORBIDDEN, reason);
                        });
        revisions.load(head.manifest(), List.of(revisions.objectStoreSource()));
        Versioned<Optional<Head>> current = tables.head();
        checkNextRevision(head.revision(), current.value());
        tables.roll(rolled, p.version(), current.version());
        Duration storeTime = elapsed(start);
        HeadPush.Report report = push.push(head);
        return new Rolled(head, report, storeTime, elapsed(start));
    }

    // ---- reads

    /** Returns the heads and open proposals; does not fail if the store is unavailable. */
    public Status status() {
        Optional<Head> inForce = state.inForce().map(HeadState.InForce::head);
        try {
            Optional<Head> stored = tables.head().value();
            long next = stored.map(Head::revision).orElse(0L) + 1;
            List<Proposal> open = tables.proposals(ProposalId.prefix(next));
            return new Status(inForce, stored, true, open);
        } catch (RequestException e) {
            return new Status(inForce, Optional.empty(), false, List.of());
        }
    }

    /**
     * Returns the rolled proposals, newest first.
     *
     * @param limit maximum number of proposals, clamped to 1 to 1,000
     */
    public List<Proposal> history(int limit) {
        long head = tables.head().value().map(Head::revision).orElse(0L);
        return tables.history(head, Math.clamp(limit, 1, MAX_HISTORY_LIMIT));
    }

    /**
     * Returns the differences between two bundles.
     *
     * @param from earlier bundle; empty for the bundle in force
     */
    public List<Change> diff(Optional<BundleReference> from, BundleReference to) {
        Supplier<Revision> inForce =
                () ->
                        state.inForce()
                                .map(HeadState.InForce::revision)
                                .orElseThrow(
                                        () ->
                                                RequestException.notRun(
                                                        ErrorCode.NOT_READY,
                                                        "no bundle is in force at this daemon"));
        Revision before = from.map(this::load).orElseGet(inForce);
        return BundleDiff.between(before.bundle(), load(to).bundle());
    }

    private Revision load(BundleReference reference) {
        Proposal p =
                reference
                        .proposal()
                        .map(id -> tables.proposal(id).value())
                        .orElseGet(() -> findRolled(reference.revision()));
        return revisions.load(p.manifest(), List.of(revisions.objectStoreSource()));
    }

    private Proposal findRolled(long revision) {
        return tables.proposals(ProposalId.prefix(revision)).stream()
                .filter(p -> p.stage() == Stage.ROLLED)
                .findFirst()
                .orElseThrow(
                        () ->
                                RequestException.notRun(
                                        ErrorCode.NOT_FOUND,
                                        "revision " + revision + " was never rolled"));
    }

    // ---- checks

    private static void checkNextRevision(long revision, Optional<Head> current) {
        long next = current.map(Head::revision).orElse(0L) + 1;
        if (revision != next) {
            throw RequestException.notRun(
                    ErrorCode.CONFLICT,
                    "the next revision is " + next + ", not " + revision + "; submit again");
        }
    }

    private void checkSignature(
            OperatorSignature signature,
            SignatureRole role,
            long revision,
            ContentHash manifest,
            OperatorName author) {
        keys.validationError(signature, role, revision, manifest, author)
                .ifPresent(
                        reason -> {
                            throw RequestException.notRun(ErrorCode.FORBIDDEN, reason);
                        });
    }

    private StageEvent event(Stage stage, OperatorName operator) {
        return new StageEvent(stage, operator, clock.instant(), UUID.randomUUID().toString());
    }

    private static Duration elapsed(long start) {
        return Duration.ofNanos(Ticker.SYSTEM.nanos() - start);
    }
}
