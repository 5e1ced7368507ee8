package org.godwithoist.membership.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.membership.HostListCopy;
import org.godwithoist.membership.HostListMessage;
import org.godwithoist.membership.HostListState;
import org.godwithoist.membership.ReadTime;
import org.godwithoist.membership.TestDaemon;
import org.godwithoist.membership.wire.generated.HostInfo;
import org.godwithoist.membership.wire.generated.HostKindCode;
import org.godwithoist.membership.wire.generated.HostListPage;
import org.godwithoist.membership.wire.generated.HostListRequest;
import org.godwithoist.membership.wire.generated.HostListResponse;
import org.godwithoist.store.HostEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GrpcHostListTest {
    private static final HostEntry ENGINE = TestDaemon.engine(1, "p", "d", HostEntry.State.LEAVING);
    private static final HostEntry DAEMON = TestDaemon.hostListEntry(TestDaemon.member(2, 1));

    private final HostListState state = new HostListState(new VirtualTicker());
    private final HostListCopy oldCopy = HostListCopy.EMPTY.withContent(List.of(ENGINE));
    private final HostListCopy newCopy = HostListCopy.EMPTY.withContent(List.of(DAEMON));

    private HostListMessage.Response encodeAndDecode(HostListMessage.Request request)
            throws Exception {
        byte[] sent = HostListCodec.encode(request).toByteArray();
        var response = state.respond(HostListCodec.decode(HostListRequest.parseFrom(sent)));
        byte[] received = HostListCodec.encode(response).toByteArray();
        assertEquals(response, HostListCodec.decode(HostListResponse.parseFrom(received)));
        return response;
    }

    @Nested
    class RoundTrip {
        /** Guards against a field that the encoding loses. */
        @Test
        void allResponsesKeepTheirFields() throws Exception {
            var first = HostListMessage.Request.changesSince(Optional.empty());
            assertEquals(HostListMessage.Response.NONE, encodeAndDecode(first));
            state.adopt(oldCopy, new ReadTime(-9_000_000, -2_000_000));
            var age = encodeAndDecode(first).age();
            assertEquals(Duration.ofMillis(10), age.max());
            assertEquals(Duration.ofMillis(2), age.min());
            state.adopt(newCopy, new ReadTime(1, 1));
            assertEquals(
                    new HostListMessage.Changed(newCopy.digest(), oldCopy.changesTo(newCopy)),
                    content(HostListMessage.Request.changesSince(Optional.of(oldCopy.digest()))));
            assertEquals(
                    new HostListMessage.Unchanged(),
                    content(HostListMessage.Request.changesSince(Optional.of(newCopy.digest()))));
            assertEquals(
                    new HostListMessage.Page(oldCopy.digest(), 0, 1, List.of(ENGINE)),
                    content(HostListMessage.Request.page(oldCopy.digest(), 0)));
        }

        private HostListMessage.Content content(HostListMessage.Request request) throws Exception {
            return encodeAndDecode(request).content().orElseThrow();
        }
    }

    @Nested
    class Malformed {
        /** Guards against an age that would make an old copy appear recent. */
        @Test
        void invalidAgesAreRejected() {
            for (long[] age : new long[][] {{1, 2}, {-1, 0}, {0, -1}, {Long.MAX_VALUE, 0}}) {
                var m = HostListResponse.newBuilder().setOldestMs(age[0]).setYoungestMs(age[1]);
                assertThrows(IllegalArgumentException.class, () -> HostListCodec.decode(m.build()));
            }
        }

        /** Guards against entries that would make the directories of members or targets fail. */
        @Test
        void invalidEntriesAreRejected() {
            HostInfo good =
                    HostInfo.newBuilder()
                            .setHost("h")
                            .setKind(HostKindCode.HOST_KIND_ENGINE)
                            .setTarget("t")
                            .setPool("p")
                            .setFailureDomain("d")
                            .setAddress("127.0.0.1:9")
                            .build();
            HostListCodec.decode(page(good));
            for (HostInfo bad :
                    List.of(
                            good.toBuilder().clearHost().build(),
                            good.toBuilder().clearTarget().build(),
                            good.toBuilder().clearPool().build(),
                            good.toBuilder().clearFailureDomain().build(),
                            good.toBuilder().setAddress("nowhere").build(),
                            good.toBuilder().setKindValue(9).build(),
                            good.toBuilder().setKind(HostKindCode.HOST_KIND_DAEMON).build())) {
                assertThrows(IllegalArgumentException.class, () -> HostListCodec.decode(page(bad)));
            }
        }

        private HostListResponse page(HostInfo entry) {
            var page = HostListPage.newBuilder().setTotal(1).addEntries(entry);
            return HostListResponse.newBuilder().setPage(page).build();
        }

        /** Guards against bytes that are not a message, and against a negative start of a page. */
        @Test
        void invalidBytesAreRejected() {
            assertThrows(
                    InvalidProtocolBufferException.class,
                    () -> HostListResponse.parseFrom(ByteString.copyFromUtf8("no message")));
            var negative = HostListRequest.newBuilder().setPageOf(1).setPageStart(-1).build();
            assertThrows(IllegalArgumentException.class, () -> HostListCodec.decode(negative));
        }
    }
}
