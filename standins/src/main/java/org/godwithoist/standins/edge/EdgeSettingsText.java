package org.godwithoist.standins.edge;

import org.godwithoist.core.id.Endpoint;

/** Settings files in the form that the platform writes. */
public final class EdgeSettingsText {
    private EdgeSettingsText() {}

    /**
     * Returns the text of a settings file.
     *
     * @param name name of the node
     * @param frontendPort port for clients; 0 for any free port
     * @param readinessPort port for readiness checks; 0 for any free port
     * @param store address of the store
     */
    public static String of(String name, int frontendPort, int readinessPort, Endpoint store) {
        return "nodeName="
                + name
                + "\nzone=zone-a\nregion=region\nip=127.0.0.1\ninternalPorts=0,0\n"
                + "listenAddresses.frontend=127.0.0.1:"
                + frontendPort
                + "\n"
                + "listenAddresses.ready=127.0.0.1:"
                + readinessPort
                + "\n"
                + "platform.address="
                + store
                + "\n"
                + "bounds.graceS=8\nbounds.configApplyMs=2000\nbounds.drainMs=2000\nbounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\n"
                + "bounds.retryBudgetExtra=56\nbounds.coldBurstFactor=1.5\nbounds.coldSlack=5\n"
                + "a.field.of.a.later.version=ignored\n";
    }
}
