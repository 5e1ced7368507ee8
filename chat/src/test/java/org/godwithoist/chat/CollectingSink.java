package org.godwithoist.chat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.godwithoist.core.task.Tasks;

/**
 * A caller that records what it receives; it can be slow or disconnect after a number of chunks.
 */
final class CollectingSink implements ResponseSink {
    final StringBuilder text = new StringBuilder();
    final List<Long> offsets = new ArrayList<>();
    final CountDownLatch disconnected = new CountDownLatch(1);
    volatile int disconnectsAfter = Integer.MAX_VALUE;
    volatile Duration delay = Duration.ZERO;
    volatile ResponseEnd end;

    @Override
    public synchronized boolean chunk(long offset, EngineEvent.Chunk chunk) {
        if (isDisconnected()) {
            return false;
        }
        Tasks.sleep(delay);
        text.append(chunk.text());
        offsets.add(offset);
        if (offsets.size() >= disconnectsAfter) {
            disconnected.countDown();
        }
        return true;
    }

    @Override
    public synchronized boolean keepAlive() {
        return !isDisconnected();
    }

    @Override
    public void end(ResponseEnd responseEnd) {
        end = responseEnd;
    }

    @Override
    public void abandon() {
        disconnectsAfter = 0;
        disconnected.countDown();
    }

    private boolean isDisconnected() {
        return offsets.size() >= disconnectsAfter;
    }
}
