package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.godwithoist.dispatch.BegunResponse;
import org.godwithoist.dispatch.CallerResponse;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.ResponseHead;

/** Response to a caller that may leave when it has the complete response. */
final class TestResponse implements CallerResponse {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final Runnable onFinish;
    Runnable onWrite = () -> {};
    private boolean started;
    private boolean statesEnd;
    private Runnable disconnectAction = () -> {};

    /** Creates a response to a caller that leaves when it has the complete response. */
    TestResponse() {
        onFinish = () -> disconnectAction.run();
    }

    TestResponse(Runnable onFinish) {
        this.onFinish = onFinish;
    }

    /** Returns the last action that was set, as a task that has taken it runs it. */
    Runnable disconnectAction() {
        return disconnectAction;
    }

    String body() {
        return bytes.toString(StandardCharsets.US_ASCII);
    }

    @Override
    public BegunResponse start(ResponseHead head) {
        assertFalse(started, "a second response to the same request");
        statesEnd = head.end().isStated();
        started = true;
        return new BegunResponse() {
            @Override
            public void write(byte[] piece, int from, int length) {
                bytes.write(piece, from, length);
                onWrite.run();
            }

            @Override
            public void finish() {
                onFinish.run();
            }
        };
    }

    @Override
    public void abort() {
        throw new AssertionError("the gateway aborted a response");
    }

    @Override
    public void refuse(Refusal refusal, Duration retryAfter) {
        throw new AssertionError("the gateway refused a request");
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public boolean statesEnd() {
        return started && statesEnd;
    }

    @Override
    public long sentBytes() {
        return bytes.size();
    }

    @Override
    public boolean callerDisconnected() {
        return false;
    }

    @Override
    public void onDisconnect(Runnable action) {
        if (action != null) {
            disconnectAction = action;
        }
    }
}
