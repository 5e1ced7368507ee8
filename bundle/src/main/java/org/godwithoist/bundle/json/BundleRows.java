package org.godwithoist.bundle.json;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.bundle.Head;
import org.godwithoist.bundle.OperatorSignature;
import org.godwithoist.bundle.Proposal;
import org.godwithoist.bundle.Stage;
import org.godwithoist.bundle.StageEvent;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.core.json.Findings;
import org.godwithoist.core.json.FindingsException;
import org.godwithoist.core.json.JsonDocument;
import org.godwithoist.core.json.ObjectReader;

/** JSON encoding of heads and proposals in the table service and in responses to operators. */
public final class BundleRows {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private BundleRows() {}

    // ---- heads

    /** Encodes a head as a JSON object without whitespace. */
    public static String write(Head head) {
        return JSON.objectNode()
                .put("revision", head.revision())
                .put("manifest", head.manifest().hex())
                .put("author", head.author().operator().value())
                .put("author_signature", head.author().base64())
                .put("signer", head.signer().operator().value())
                .put("signer_signature", head.signer().base64())
                .toString();
    }

    /**
     * Parses a head; unknown fields are ignored.
     *
     * @throws FindingsException if the text is malformed
     */
    public static Head readHead(String text) {
        Findings findings = new Findings();
        ObjectReader r = ObjectReader.root(JsonDocument.parse("bundle_head", text), findings);
        long revision = r.longInteger("revision", 1, Long.MAX_VALUE, 1);
        Optional<ContentHash> manifest = r.required("manifest", ContentHash::new);
        Optional<OperatorSignature> author = signature(r, "author");
        Optional<OperatorSignature> signer = signature(r, "signer");
        findings.throwIfAny();
        return new Head(revision, manifest.get(), author.get(), signer.get());
    }

    // ---- proposals

    /** Encodes a proposal as a JSON object without whitespace. */
    public static String write(Proposal p) {
        return node(p).toString();
    }

    /** Encodes a proposal as a JSON tree; signer fields are omitted if there is no signer. */
    public static ObjectNode node(Proposal p) {
        ObjectNode o =
                JSON.objectNode()
                        .put("proposal", p.id().value())
                        .put("revision", p.revision())
                        .put("stage", p.stage().wireName())
                        .put("manifest", p.manifest().hex())
                        .put("author", p.author().operator().value())
                        .put("author_signature", p.author().base64());
        p.signer()
                .ifPresent(
                        s ->
                                o.put("signer", s.operator().value())
                                        .put("signer_signature", s.base64()));
        ArrayNode events = o.putArray("events");
        for (StageEvent e : p.events()) {
            events.addObject()
                    .put("stage", e.stage().wireName())
                    .put("operator", e.operator().value())
                    .put("at", e.at().toString())
                    .put("attempt", e.attempt());
        }
        return o;
    }

    /**
     * Parses a proposal; unknown fields are ignored.
     *
     * @throws FindingsException if the text is malformed
     */
    public static Proposal readProposal(String text) {
        Findings findings = new Findings();
        ObjectReader r = ObjectReader.root(JsonDocument.parse("bundle_stage", text), findings);
        long revision = r.longInteger("revision", 1, Long.MAX_VALUE, 1);
        Optional<ContentHash> manifest = r.required("manifest", ContentHash::new);
        Optional<OperatorSignature> author = signature(r, "author");
        Optional<OperatorSignature> signer =
                r.optional("signer", v -> v).isPresent()
                        ? signature(r, "signer")
                        : Optional.empty();
        List<StageEvent> events = new ArrayList<>();
        for (ObjectReader e : r.objects("events")) {
            Optional<Stage> stage = e.required("stage", BundleRows::stage);
            Optional<OperatorName> operator = e.required("operator", OperatorName::new);
            Optional<Instant> at = e.required("at", BundleRows::instant);
            String attempt = e.string("attempt");
            if (stage.isPresent() && operator.isPresent() && at.isPresent()) {
                events.add(new StageEvent(stage.get(), operator.get(), at.get(), attempt));
            }
        }
        findings.throwIfAny();
        return new Proposal(revision, manifest.get(), author.get(), signer, events);
    }

    private static Optional<OperatorSignature> signature(ObjectReader r, String role) {
        String base64 = r.string(role + "_signature");
        return r.required(role, OperatorName::new).map(n -> new OperatorSignature(n, base64));
    }

    private static Stage stage(String text) {
        return Stage.fromWireName(text)
                .orElseThrow(() -> new IllegalArgumentException("'" + text + "' is not a stage"));
    }

    private static Instant instant(String text) {
        try {
            return Instant.parse(text);
        } catch (DateTimeParseException e) {
            throw new IllegalArgumentException("'" + text + "' is not an instant", e);
        }
    }
}
