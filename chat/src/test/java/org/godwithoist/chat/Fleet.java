package org.godwithoist.chat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.godwithoist.accounting.Usage;
import org.godwithoist.accounting.UsageRecorder;
import org.godwithoist.admission.Admission;
import org.godwithoist.admission.Slot;
import org.godwithoist.admission.SlotRequest;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.BundleParser;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;
import org.godwithoist.routing.PlacementDirectory;
import org.godwithoist.routing.Router;
import org.godwithoist.routing.TargetCostModel;

/** Engines, slots and usage records shared by the daemons of a test. */
public final class Fleet implements TargetDirectory, Admission, UsageRecorder {
    static final PoolId POOL = new PoolId("assistants");

    final FakeEngines engines = new FakeEngines();
    final PlacementDirectory placements = new PlacementDirectory(100, Ticker.SYSTEM);
    final Map<TargetId, Integer> capacity = new HashMap<>();
    final Map<TargetId, Integer> slotsInUse = new ConcurrentHashMap<>();
    final Set<RequestId> openAttempts = ConcurrentHashMap.newKeySet();
    final List<ChatOutcome> outcomes = new CopyOnWriteArrayList<>();
    final AtomicInteger expiringSlots = new AtomicInteger();
    private final AtomicReference<Usage> closedUsage = new AtomicReference<>(Usage.NONE);
    private final Map<TargetId, Target> targets = new ConcurrentHashMap<>();
    private final AtomicInteger version = new AtomicInteger();
    private final Bundle bundle;

    /** Creates a fleet whose engines are all in service. */
    public Fleet(int engineCount) {
        bundle =
                BundleParser.parse(
                        "bundle",
                        """
                        {"format": 1, "failureDomains": ["d1"],
                         "workspaces": [
                           {"id": "antwerp", "maxConcurrent": 3, "keyHashes":
                            ["f6ec3ed8b73edb41ed342b5097b23c6dbfa5dcd7397e66846ad29cca11455f55"]},
                           {"id": "ghent"}],
                         "models": [{"id": "assistant", "pool": "assistants"}],
                         "pools": [{"id": "assistants", "cacheTokens": 100000}],
                         "serviceLevels": [
                           {"priority": "urgent", "deadlineMs": 5000},
                           {"priority": "interactive", "deadlineMs": 20000},
                           {"priority": "background", "deadlineMs": 60000}]}
                        """);
        for (int i = 1; i <= engineCount; i++) {
            set(i, ServiceState.IN_SERVICE);
        }
    }

    /** Creates a daemon that shares the engines, slots and usage records of the fleet. */
    public ChatService daemon(String host, ChatTimings timings) {
        Router router = router();
        return new ChatService(
                new ChatContext(
                        new HostId(host),
                        () -> bundle,
                        this,
                        this,
                        engines,
                        this,
                        router,
                        placements,
                        Ticker.SYSTEM,
                        timings,
                        (request, outcome) -> outcomes.add(outcome)));
    }

    /** Makes every engine wait the given time, in milliseconds, before each word. */
    public void slowEngines(long delayMs) {
        targets.keySet().forEach(t -> engines.engine(t).delayMs = delayMs);
    }

    /** Makes every engine crash before the given event. */
    public void crashEnginesAt(int event) {
        targets.keySet().forEach(t -> engines.engine(t).crashAt = event);
    }

    Router router() {
        return new Router(this, this, new TargetCostModel(Ticker.SYSTEM, () -> 1), Runnable::run);
    }

    /** Returns the bundle in force. */
    public Bundle bundle() {
        return bundle;
    }

    /** Creates a request with id {@code request} for the only chat of the workspace. */
    public static ChatRequest request(
            String workspace, Duration deadline, Optional<Long> resumeAfter) {
        return new ChatRequest(
                new RequestId("request"),
                new WorkspaceId(workspace),
                new ChatId(workspace + "/chat"),
                new ModelId("assistant"),
                Priority.URGENT,
                Deadline.after(deadline, Ticker.SYSTEM),
                100,
                "{}",
                resumeAfter);
    }

    static TargetId id(int number) {
        return new TargetId("engine-" + number);
    }

    FakeEngines.Engine engine(int number) {
        return engines.engine(id(number));
    }

    void set(int number, ServiceState state) {
        targets.put(id(number), target(id(number), "127.0.0.1:1", state));
        version.incrementAndGet();
    }

    /** Creates an engine of the only pool. */
    public static Target target(TargetId id, String endpoint, ServiceState state) {
        return new Target(
                id,
                new HostId("host"),
                POOL,
                new FailureDomainId("d1"),
                Endpoint.parse(endpoint),
                state);
    }

    Usage recordedUsage() {
        return closedUsage.get();
    }

    int slotsInUseCount() {
        return slotsInUse.values().stream().mapToInt(n -> n).sum();
    }

    // ---- targets

    @Override
    public List<Target> targets(PoolId pool) {
        return targets.values().stream().sorted((a, b) -> a.id().compareTo(b.id())).toList();
    }

    @Override
    public Optional<Target> find(TargetId id) {
        return Optional.ofNullable(targets.get(id));
    }

    @Override
    public long version() {
        return version.get();
    }

    // ---- slots

    @Override
    public Optional<Slot> acquire(SlotRequest request, Duration maxWait) {
        long end = System.nanoTime() + maxWait.toNanos();
        do {
            synchronized (slotsInUse) {
                int now = slotsInUse.getOrDefault(request.target(), 0);
                if (now < capacity.getOrDefault(request.target(), 4)) {
                    slotsInUse.put(request.target(), now + 1);
                    return Optional.of(new FakeSlot(request.target()));
                }
            }
            Tasks.sleep(Duration.ofMillis(5));
        } while (System.nanoTime() < end);
        return Optional.empty();
    }

    @Override
    public Duration expectedWait(TargetId target) {
        boolean free = slotsInUse.getOrDefault(target, 0) < capacity.getOrDefault(target, 4);
        return free ? Duration.ZERO : Duration.ofMillis(50);
    }

    private final class FakeSlot implements Slot {
        private final TargetId target;
        private boolean released;

        FakeSlot(TargetId target) {
            this.target = target;
        }

        @Override
        public TargetId target() {
            return target;
        }

        @Override
        public boolean use() {
            return expiringSlots.getAndUpdate(n -> Math.max(0, n - 1)) == 0;
        }

        @Override
        public void release(Outcome outcome, Duration firstToken) {
            synchronized (slotsInUse) {
                if (!released) {
                    released = true;
                    slotsInUse.merge(target, -1, Integer::sum);
                }
            }
        }
    }

    // ---- usage

    @Override
    public void open(RequestId attempt, WorkspaceId workspace, TargetId target) {
        openAttempts.add(attempt);
    }

    @Override
    public void close(RequestId attempt, Usage usage) {
        if (openAttempts.remove(attempt)) {
            closedUsage.updateAndGet(u -> u.plus(usage));
        }
    }

    @Override
    public void cancelUnsent(RequestId attempt) {
        openAttempts.remove(attempt);
    }
}
