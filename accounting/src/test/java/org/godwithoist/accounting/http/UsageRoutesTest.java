package org.godwithoist.accounting.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.godwithoist.accounting.UnsettledUsage;
import org.godwithoist.accounting.Usage;
import org.godwithoist.accounting.UsageOverview;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.WorkspaceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UsageRoutesTest {
    @Nested
    class Response {
        /** Guards against workspaces that are missing because they have only unsettled usage. */
        @Test
        void listsSettledAndUnsettledUsage() {
            var overview =
                    new UsageOverview(
                            Map.of(new WorkspaceId("a"), new Usage(1, 2, 3, 4)),
                            Map.of(
                                    new WorkspaceId("b"),
                                    new UnsettledUsage(new Usage(5, 6, 7, 8), 9)),
                            List.of(new HostId("h")));
            String none =
                    "\"requests\":0,\"prompt_tokens\":0,\"cached_tokens\":0,"
                            + "\"completion_tokens\":0";
            assertEquals(
                    "{\"workspaces\":["
                            + "{\"workspace\":\"a\",\"settled\":{\"requests\":1,\"prompt_tokens\":2,"
                            + "\"cached_tokens\":3,\"completion_tokens\":4},"
                            + ("\"unsettled\":{" + none + ",\"open_attempts\":0}},")
                            + ("{\"workspace\":\"b\",\"settled\":{" + none + "},")
                            + "\"unsettled\":{\"requests\":5,\"prompt_tokens\":6,"
                            + "\"cached_tokens\":7,\"completion_tokens\":8,\"open_attempts\":9}}],"
                            + "\"unreachable_daemons\":[\"h\"]}",
                    UsageRoutes.json(overview).encode());
        }
    }
}
