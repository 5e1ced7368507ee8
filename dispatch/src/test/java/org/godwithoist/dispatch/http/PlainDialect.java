package org.godwithoist.dispatch.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.apache.hc.core5.http.Header;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.dispatch.Attempt;
import org.godwithoist.dispatch.HeaderField;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.RequestHead;
import org.godwithoist.dispatch.TargetPresence;
import org.godwithoist.targets.LimitStatement;
import org.godwithoist.targets.Target;

/** Field names of {@link TargetServer}. */
final class PlainDialect implements Dialect {
    @Override
    public RequestHead readRequest(String method, String uri, Header[] headers) {
        throw new AssertionError("not used");
    }

    @Override
    public long admittedBy(Header[] headers) {
        throw new AssertionError("not used");
    }

    @Override
    public List<HeaderField> refusalFields(RequestId id, Refusal refusal) {
        throw new AssertionError("not used");
    }

    @Override
    public List<HeaderField> targetFields(Attempt attempt) {
        return List.of(new HeaderField("Id", attempt.request().head().id().value()));
    }

    @Override
    public ResponseMetadata readResponse(Header[] headers) {
        return new ResponseMetadata(
                Optional.ofNullable(HeaderFields.value(headers, "Id")).map(RequestId::new),
                Optional.ofNullable(HeaderFields.value(headers, "Id")).map(id -> "signed"),
                false,
                Optional.empty(),
                false,
                Optional.empty(),
                LimitStatement.none(),
                LimitStatement.none());
    }

    @Override
    public OptionalInt keepAliveSeconds(Header[] headers) {
        return OptionalInt.of(Integer.parseInt(HeaderFields.value(headers, "Keep-Alive")));
    }

    @Override
    public String presencePath(ServiceSpec service) {
        throw new AssertionError("not used");
    }

    @Override
    public List<HeaderField> presenceFields(Target asked) {
        throw new AssertionError("not used");
    }

    @Override
    public TargetPresence readPresence(Target asked, int status, Header[] headers, byte[] body) {
        throw new AssertionError("not used");
    }
}
