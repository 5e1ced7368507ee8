package org.godwithoist.core.id;

/**
 * An IP address and port.
 *
 * @param ip IPv4 or IPv6 address as text; host names are not resolved
 * @param port port from 1 to 65535, or 0 to listen on a port chosen by the operating system
 */
public record Endpoint(String ip, int port) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final int MAX_OCTET_DIGITS = 3;
    private static final int OCTETS = 4;
    private static final int MAX_IP_LENGTH = 45;
    private static final int HEX_RADIX = 16;

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
        return ip.indexOf(':') >= 0 ? isHexAndColons(ip) : isIpv4(ip);
    }

    private static boolean isHexAndColons(String ip) {
        for (int i = 0; i < ip.length(); i++) {
            char c = ip.charAt(i);
            boolean isHexDigit = c < 0x80 && Character.digit(c, HEX_RADIX) >= 0;
            if (c != ':' && !isHexDigit) {
                return false;
            }
        }
        return true;
    }

    /** Reads the octets by hand, because a daemon checks many addresses while it starts. */
    private static boolean isIpv4(String ip) {
        int octets = 1;
        int digits = 0;
        int value = 0;
        for (int i = 0; i < ip.length(); i++) {
            char c = ip.charAt(i);
            if (c == '.' && digits > 0) {
                octets++;
                digits = 0;
                value = 0;
            } else if (c >= '0' && c <= '9') {
                digits++;
                value = 10 * value + (c - '0');
            } else {
                return false;
            }
            if (value > MAX_OCTET || digits > MAX_OCTET_DIGITS) {
                return false;
            }
        }
        return octets == OCTETS && digits > 0;
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
