package org.godwithoist.core.id;

import java.util.regex.Pattern;

/**
 * An IP address and port.
 *
 * @param ip IPv4 or IPv6 address as text; host names are not resolved
 * @param port port from 1 to 65535, or 0 to listen on a port chosen by the operating system
 */
public record Endpoint(String ip, int port) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final int OCTETS = 4;
    private static final int MAX_IP_LENGTH = 45;
    private static final Pattern IPV4 = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F]*:[0-9a-fA-F:]*");

    /**
     * Validates address and port.
     *
     * @throws IllegalArgumentException if the address is not numeric or the port is out of range
     */
    public Endpoint {
        if (!isNumericAddress(ip)) {
            throw new IllegalArgumentException(
                    quote(ip) + " is not a numeric IPv4 or IPv6 address");
        }
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port must be from 0 to 65535, not " + port);
        }
    }

    /**
     * Parses {@code ip:port}; an IPv6 address is enclosed in brackets.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException(quote(text) + " must have the form ip:port");
        }
        String ip = text.substring(0, colon);
        if (ip.startsWith("[") && ip.endsWith("]")) {
            ip = ip.substring(1, ip.length() - 1);
        }
        try {
            return new Endpoint(ip, Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "the port of " + quote(text) + " is not an integer", e);
        }
    }

    private static boolean isNumericAddress(String ip) {
        if (ip.length() > MAX_IP_LENGTH) {
            return false;
        }
        return IPV6.matcher(ip).matches() || (IPV4.matcher(ip).matches() && hasValidOctets(ip));
    }

    private static boolean hasValidOctets(String ip) {
        for (String octet : ip.split("\\.", OCTETS)) {
            if (Integer.parseInt(octet) > MAX_OCTET) {
                return false;
            }
        }
        return true;
    }

    /** Quotes a text from outside; one that is too long for any address is shortened. */
    private static String quote(String text) {
        int maxLength = 2 * MAX_IP_LENGTH;
        return "'"
                + (text.length() > maxLength ? text.substring(0, maxLength) + "..." : text)
                + "'";
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Endpoint o && ip.equals(o.ip) && port == o.port;
    }

    @Override
    public int hashCode() {
        return 31 * ip.hashCode() + port;
    }

    @Override
    public String toString() {
        return ip.indexOf(':') >= 0 ? "[" + ip + "]:" + port : ip + ":" + port;
    }
}
