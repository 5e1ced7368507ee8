package org.godwithoist.services;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;

/**
 * A body whose end only the close of the connection states. The close of a process that ends looks
 * the same, so the end is passed on only if the target still runs. The beginning of the body is
 * held back, so that a request that may be repeated is repeated before its caller has received
 * anything.
 */
final class UnstatedEndBody implements ByteStream, AutoCloseable {
    /** Maximum length of the beginning that is held back, in bytes. */
    private static final int MAX_HELD_BYTES = 64 << 10;

    private final ByteStream body;
    private final MemoryBudget budget;
    private final BooleanSupplier targetRuns;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private long reservedBytes;
    private boolean begun;
    private boolean ended;

    /**
     * Wraps a body.
     *
     * @param budget budget for the bytes that are held back
     * @param targetRuns asks the target whether it still runs
     */
    UnstatedEndBody(ByteStream body, MemoryBudget budget, BooleanSupplier targetRuns) {
        this.body = body;
        this.budget = budget;
        this.targetRuns = targetRuns;
    }

    @Override
    public Optional<byte[]> next(Duration timeout) {
        if (begun) {
            return ended ? Optional.empty() : receive(timeout);
        }
        Deadline deadline = Deadline.after(timeout, Ticker.SYSTEM);
        Optional<byte[]> chunk;
        do {
            chunk = receive(deadline.remaining());
            chunk.ifPresent(held::writeBytes);
        } while (chunk.isPresent() && reserve(chunk.get().length));
        begun = true;
        byte[] beginning = held.toByteArray();
        close();
        return beginning.length == 0 ? Optional.empty() : Optional.of(beginning);
    }

    /** Returns whether the body was read to the end of its connection. */
    boolean hasEnded() {
        return ended;
    }

    /** Returns whether there is room for more bytes after these. */
    private boolean reserve(int bytes) {
        if (held.size() >= MAX_HELD_BYTES || !budget.tryReserve(bytes)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    private Optional<byte[]> receive(Duration timeout) {
        Optional<byte[]> chunk = body.next(timeout);
        if (chunk.isEmpty()) {
            ended = true;
            if (!targetRuns.getAsBoolean()) {
                throw new ServiceException(
                        ServiceException.Kind.CONNECTION_LOST,
                        "the target ended while it sent a body without a stated end",
                        null);
            }
        }
        return chunk;
    }

    /** Returns the bytes held back to the budget. */
    @Override
    public void close() {
        budget.release(reservedBytes);
        reservedBytes = 0;
        held.reset();
    }
}
