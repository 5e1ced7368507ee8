package org.godwithoist.dispatch.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.godwithoist.dispatch.HeaderField;

/** Utilities for header fields, in particular for hop-by-hop fields. */
public final class HeaderFields {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length");

    private HeaderFields() {}

    /**
     * Returns the end-to-end fields, without the hop-by-hop fields and those named by Connection.
     */
    public static List<HeaderField> endToEnd(Header[] headers) {
        Set<String> connectionOptions = connectionOptions(headers);
        List<HeaderField> fields = new ArrayList<>(headers.length);
        for (Header h : headers) {
            String name = h.getName().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
                fields.add(new HeaderField(h.getName(), h.getValue()));
            }
        }
        return fields;
    }

    /** Returns whether one of the fields says what the body of a response is or where it ends. */
    static boolean describeBody(Header[] headers) {
        return count(headers, "Content-Length") > 0
                || count(headers, "Transfer-Encoding") > 0
                || count(headers, "Content-Type") > 0;
    }

    /** Returns the options of the Connection fields, in lower case. */
    static Set<String> connectionOptions(Header[] headers) {
        Set<String> options = new HashSet<>();
        for (Header h : headers) {
            if (h.getName().equalsIgnoreCase("Connection") && h.getValue() != null) {
                for (String option : h.getValue().split(",", -1)) {
                    options.add(option.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        return options;
    }

    /** Returns the value of the first field with a name, or null if there is none. */
    public static String value(Header[] headers, String name) {
        for (Header h : headers) {
            if (h.getName().equalsIgnoreCase(name)) {
                return h.getValue();
            }
        }
        return null;
    }

    /** Returns whether a text consists of 1 to {@code maxLength} decimal digits. */
    public static boolean isDigits(String text, int maxLength) {
        if (text.isEmpty() || text.length() > maxLength) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    /** Returns how often a field occurs. */
    public static int count(Header[] headers, String name) {
        int count = 0;
        for (Header h : headers) {
            if (h.getName().equalsIgnoreCase(name)) {
                count++;
            }
        }
        return count;
    }
}
