package org.godwithoist.bundle.wire;

import com.google.protobuf.ByteString;
import java.util.HexFormat;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.bundle.Head;
import org.godwithoist.bundle.OperatorSignature;
import org.godwithoist.bundle.wire.generated.HeadRequest;
import org.godwithoist.bundle.wire.generated.HeadResponse;
import org.godwithoist.bundle.wire.generated.PartsRequest;
import org.godwithoist.bundle.wire.generated.PartsResponse;
import org.godwithoist.bundle.wire.generated.PushRequest;
import org.godwithoist.bundle.wire.generated.PushResponse;
import org.godwithoist.bundle.wire.generated.SignedHead;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.membership.PeerTransport.Method;

/** RPC methods between daemons and the encoding of their messages. */
final class BundleMessages {
    private static final String SERVICE = "godwithoist.bundle.Spread";

    static final Method<PushRequest, PushResponse> PUSH =
            new Method<>(SERVICE, "Push", PushRequest.parser(), PushResponse.parser());
    static final Method<HeadRequest, HeadResponse> EXCHANGE =
            new Method<>(SERVICE, "Exchange", HeadRequest.parser(), HeadResponse.parser());
    static final Method<PartsRequest, PartsResponse> PARTS =
            new Method<>(SERVICE, "Parts", PartsRequest.parser(), PartsResponse.parser());

    private BundleMessages() {}

    static SignedHead encode(Head head) {
        return SignedHead.newBuilder()
                .setRevision(head.revision())
                .setManifest(encode(head.manifest()))
                .setAuthor(head.author().operator().value())
                .setAuthorSignature(head.author().base64())
                .setSigner(head.signer().operator().value())
                .setSignerSignature(head.signer().base64())
                .build();
    }

    /**
     * Decodes a head; signatures are not verified.
     *
     * @throws IllegalArgumentException if a field is missing or malformed
     */
    static Head decode(SignedHead m) {
        return new Head(
                m.getRevision(),
                decode(m.getManifest()),
                new OperatorSignature(new OperatorName(m.getAuthor()), m.getAuthorSignature()),
                new OperatorSignature(new OperatorName(m.getSigner()), m.getSignerSignature()));
    }

    static ByteString encode(ContentHash hash) {
        return ByteString.copyFrom(HexFormat.of().parseHex(hash.hex()));
    }

    static ContentHash decode(ByteString hash) {
        return new ContentHash(HexFormat.of().formatHex(hash.toByteArray()));
    }
}
