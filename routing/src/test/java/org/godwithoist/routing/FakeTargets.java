package org.godwithoist.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.godwithoist.admission.Admission;
import org.godwithoist.admission.Slot;
import org.godwithoist.admission.SlotRequest;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.bundle.FencingMode;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;

/** Target directory and admission with configurable targets and waits; grants no slots. */
final class FakeTargets implements TargetDirectory, Admission {
    static final PoolId POOL_ID = new PoolId("pool");
    static final Pool POOL =
            new Pool(
                    POOL_ID,
                    Pool.Kind.ENGINE,
                    1,
                    AdmissionLimits.DEFAULT,
                    FencingMode.IGNORED,
                    100_000);

    final Map<TargetId, Duration> waits = new HashMap<>();
    private final Map<TargetId, Target> targets = new TreeMap<>();
    private long version;

    FakeTargets(int count) {
        for (int i = 0; i < count; i++) {
            set(i, ServiceState.IN_SERVICE);
        }
    }

    static TargetId id(int number) {
        return new TargetId(String.format("engine-%05d", number));
    }

    void set(int number, ServiceState state) {
        var target =
                new Target(
                        id(number),
                        new HostId("host-" + number),
                        POOL_ID,
                        new FailureDomainId("domain"),
                        Endpoint.parse("127.0.0.1:1"),
                        state);
        targets.put(target.id(), target);
        version++;
    }

    @Override
    public List<Target> targets(PoolId pool) {
        return List.copyOf(targets.values());
    }

    @Override
    public Optional<Target> find(TargetId id) {
        return Optional.ofNullable(targets.get(id));
    }

    @Override
    public long version() {
        return version;
    }

    @Override
    public Optional<Slot> acquire(SlotRequest request, Duration timeout) {
        return Optional.empty();
    }

    @Override
    public Duration expectedWait(TargetId target) {
        return waits.getOrDefault(target, Duration.ZERO);
    }
}
