package org.godwithoist.admission.wire;

import java.util.function.Supplier;
import org.godwithoist.admission.AdmissionTiming;
import org.godwithoist.admission.SlotAdmission;
import org.godwithoist.admission.TargetLoadReports;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.MemberDirectory;
import org.godwithoist.membership.PeerTransport;
import org.godwithoist.membership.TargetDirectory;
import org.godwithoist.store.TableStore;

/** Creates the admission of a daemon on the transport between daemons and the table service. */
public final class AdmissionWiring {
    private AdmissionWiring() {}

    /**
     * Creates the admission of a daemon and registers its message handlers. The caller starts it
     * once the transport listens.
     *
     * @param bundle bundle in force
     * @param members daemons of the fleet
     * @param targets targets
     * @param store table service
     * @param transport transport between daemons, before it listens
     * @param loads load reports of targets
     * @param ticker clock
     */
    public static SlotAdmission create(
            Supplier<Bundle> bundle,
            MemberDirectory members,
            TargetDirectory targets,
            TableStore store,
            PeerTransport transport,
            TargetLoadReports loads,
            Ticker ticker) {
        var admission =
                new SlotAdmission(
                        bundle,
                        members,
                        targets,
                        new LeaseRows(store),
                        new TransportPeers(transport, ticker),
                        loads,
                        ticker,
                        AdmissionTiming.DEFAULT);
        admission.serve();
        return admission;
    }
}
