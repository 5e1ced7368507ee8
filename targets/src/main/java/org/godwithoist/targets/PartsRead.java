package org.godwithoist.targets;

import org.godwithoist.core.id.TargetId;

/**
 * An engine has read the parts of a prompt and keeps them for a while.
 *
 * @param target the engine
 * @param key the parts
 */
public record PartsRead(TargetId target, PromptKey key) {
    @Override
    public boolean equals(Object other) {
        return other instanceof PartsRead o && target.equals(o.target) && key.equals(o.key);
    }

    @Override
    public int hashCode() {
        return 31 * target.hashCode() + key.hashCode();
    }
}
