package org.godwithoist.bundle.store;

import java.time.InstantSource;
import java.util.List;
import org.godwithoist.bundle.BundleParser;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.bundle.Fixture;
import org.godwithoist.bundle.HeadPush;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.Proposal;
import org.godwithoist.bundle.ProposalId;
import org.godwithoist.bundle.SignatureRole;
import org.godwithoist.bundle.json.BundleSplit;
import org.godwithoist.store.ObjectStore;
import org.godwithoist.store.TableStore;

/** Bundle operations of one daemon, with ANNA as author and BEN as reviewer and signer. */
public final class BundleWorkflow {
    public final Fixture fixture;
    public final HeadState state;
    public final BundleTables tables;
    public final RevisionStore revisions;
    public final BundleOperations operations;

    public BundleWorkflow(Fixture fixture, HeadState state, TableStore table, ObjectStore objects) {
        this(
                fixture,
                state,
                new BundleTables(table),
                new RevisionStore(objects, state),
                head -> new HeadPush.Report(List.of(), List.of(), List.of()));
    }

    public BundleWorkflow(
            Fixture fixture,
            HeadState state,
            BundleTables tables,
            RevisionStore revisions,
            HeadPush push) {
        this.fixture = fixture;
        this.state = state;
        this.tables = tables;
        this.revisions = revisions;
        operations =
                new BundleOperations(
                        tables, revisions, state, fixture.keys(), push, InstantSource.system());
    }

    public static ContentHash manifest(String text) {
        return BundleSplit.split(BundleParser.parse("b.json", text)).hash();
    }

    public Proposal submit(long revision, String text) {
        ContentHash m = manifest(text);
        String s =
                fixture.sign(Fixture.ANNA, SignatureRole.AUTHOR, revision, m, Fixture.ANNA)
                        .base64();
        return operations.submit(Fixture.ANNA, "b.json", text, revision, s);
    }

    public Proposal sign(Proposal p) {
        String s =
                fixture.sign(
                                Fixture.BEN,
                                SignatureRole.SIGNER,
                                p.revision(),
                                p.manifest(),
                                Fixture.ANNA)
                        .base64();
        return operations.sign(Fixture.BEN, p.id(), s);
    }

    /** Submits, reviews and signs a bundle. */
    public ProposalId signed(long revision, String text) {
        Proposal p = submit(revision, text);
        operations.review(Fixture.BEN, p.id());
        return sign(p).id();
    }
}
