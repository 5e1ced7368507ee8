package org.godwithoist.membership;

import java.util.Locale;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;

/**
 * Subject of an order: a failure domain or a host. The text form is {@code domain:X} or {@code
 * host:Y}.
 *
 * @param kind kind of the subject
 * @param name id of the failure domain or host
 */
public record OrderSubject(Kind kind, String name) implements Comparable<OrderSubject> {
    /** Kind of a subject. */
    public enum Kind {
        /** A failure domain with all its hosts. */
        DOMAIN {
            @Override
            void check(String name) {
                new FailureDomainId(name);
            }
        },
        /** A single host. */
        HOST {
            @Override
            void check(String name) {
                new HostId(name);
            }
        };

        /** Throws an {@link IllegalArgumentException} if the name is not an id of this kind. */
        abstract void check(String name);

        private String prefix() {
            return name().toLowerCase(Locale.ROOT) + ":";
        }
    }

    /**
     * Creates a subject.
     *
     * @throws IllegalArgumentException if the name is not an id of the kind
     */
    public OrderSubject {
        kind.check(name);
    }

    /** Returns the subject of orders for a failure domain. */
    public static OrderSubject of(FailureDomainId domain) {
        return new OrderSubject(Kind.DOMAIN, domain.value());
    }

    /** Returns the subject of orders for a host. */
    public static OrderSubject of(HostId host) {
        return new OrderSubject(Kind.HOST, host.value());
    }

    /**
     * Parses {@code domain:X} or {@code host:Y}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static OrderSubject parse(String text) {
        for (Kind k : Kind.values()) {
            if (text.startsWith(k.prefix())) {
                return new OrderSubject(k, text.substring(k.prefix().length()));
            }
        }
        throw new IllegalArgumentException(
                "subject must be \"domain:X\" or \"host:Y\", not \"" + text + "\"");
    }

    @Override
    public int compareTo(OrderSubject other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return kind.prefix() + name;
    }
}
