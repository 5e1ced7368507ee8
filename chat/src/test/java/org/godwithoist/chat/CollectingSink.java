package org.godwithoist.chat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.godwithoist.core.task.Tasks;

/**
 * A caller that records what it receives; it can be slow or disconnect after a number of chunks.
 */
final class CollectingSink implements AnswerSink {
    final StringBuilder text = new StringBuilder();
    final List<Long> offsets = new ArrayList<>();
    final CountDownLatch left = new CountDownLatch(1);
    volatile int leavesAfter = Integer.MAX_VALUE;
    volatile Duration pause = Duration.ZERO;
    volatile AnswerEnd end;

    @Override
    public synchronized boolean piece(long offset, EngineEvent.Piece piece) {
        if (isGone()) {
            return false;
        }
        Tasks.sleep(pause);
        text.append(piece.text());
        offsets.add(offset);
        if (offsets.size() >= leavesAfter) {
            left.countDown();
        }
        return true;
    }

    @Override
    public synchronized boolean keepAlive() {
        return !isGone();
    }

    @Override
    public void end(AnswerEnd whole) {
        end = whole;
    }

    @Override
    public void abandon() {
        leavesAfter = 0;
        left.countDown();
    }

    private boolean isGone() {
        return offsets.size() >= leavesAfter;
    }
}
