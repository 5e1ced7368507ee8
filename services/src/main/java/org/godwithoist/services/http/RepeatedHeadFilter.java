package org.godwithoist.services.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.godwithoist.core.http.ConnectionReuse;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.services.ByteStream;
import org.godwithoist.services.Header;

/**
 * Passes a body on unless the head of a repeated response begins in it. A target that breaks a
 * response off and repeats it on the same connection fills the rest of the announced length with
 * the repeated head, or continues a body without a stated end.
 *
 * <p>A body with a stated end may quote HTTP. It fails only if the head in it names the request or
 * has the fields of the response's own head. A body without a stated end fails at any status line,
 * because nothing shows whether the status line belongs to it.
 */
final class RepeatedHeadFilter implements ByteStream {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d");
    private static final int STATUS_LINE_LENGTH = "HTTP/1.1 200".length();

    /** The beginning of a status line at the end of a body. */
    private static final Pattern CUT_STATUS_LINE =
            Pattern.compile("HTTP/(1(\\.([01]( ([1-5]\\d?)?)?)?)?)?$");

    private static final String LINE_END = "\r\n";
    private static final String HEAD_END = "\r\n\r\n";

    /** Maximum length of a head that is held back until it can be judged, in bytes. */
    private static final int MAX_HEAD_BYTES = 4 << 10;

    /** Fields that differ between two responses to the same request. */
    private static final Set<String> VARYING_FIELDS = Set.of("content-length", "date");

    private final ByteStream body;
    private final boolean endStated;
    private final RequestId id;
    private final List<Header> ownFields;
    private final Supplier<RuntimeException> repeated;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();

    /** Last bytes passed on, in which a status line may have begun. */
    private String passedOn = "";

    private enum Verdict {
        /** The body quotes HTTP. */
        QUOTE,
        /** The response is repeated. */
        REPEATED,
        /** More of the head is needed. */
        UNDECIDED
    }

    /**
     * Wraps a body.
     *
     * @param endStated whether the head states where the body ends, by a length or by chunks
     * @param id id of the request
     * @param ownFields fields of the response's head, in their order
     * @param repeated creates the exception for a repeated response
     */
    RepeatedHeadFilter(
            ByteStream body,
            boolean endStated,
            RequestId id,
            List<Header> ownFields,
            Supplier<RuntimeException> repeated) {
        this.body = body;
        this.endStated = endStated;
        this.id = id;
        this.ownFields = List.copyOf(ownFields);
        this.repeated = repeated;
    }

    @Override
    public Optional<byte[]> next(Duration timeout) {
        Deadline deadline = Deadline.after(timeout, Ticker.SYSTEM);
        while (true) {
            Optional<byte[]> chunk = body.next(deadline.remaining());
            chunk.ifPresent(held::writeBytes);
            String text = passedOn + held.toString(StandardCharsets.ISO_8859_1);
            switch (judge(text, chunk.isEmpty())) {
                case REPEATED -> throw repeated.get();
                case QUOTE -> {
                    if (chunk.isEmpty() || held.size() > 0) {
                        return release(text);
                    }
                }
                case UNDECIDED -> {}
            }
        }
    }

    private Optional<byte[]> release(String text) {
        passedOn = text.substring(Math.max(0, text.length() - STATUS_LINE_LENGTH + 1));
        byte[] bytes = held.toByteArray();
        held.reset();
        return bytes.length == 0 ? Optional.empty() : Optional.of(bytes);
    }

    private Verdict judge(String text, boolean ended) {
        if (!endStated && ended && CUT_STATUS_LINE.matcher(text).find()) {
            return Verdict.REPEATED;
        }
        Matcher statusLine = STATUS_LINE.matcher(text);
        while (statusLine.find()) {
            Verdict verdict =
                    endStated
                            ? judgeHead(headAt(text, statusLine.start()), ended)
                            : Verdict.REPEATED;
            if (verdict != Verdict.QUOTE) {
                return verdict;
            }
        }
        return Verdict.QUOTE;
    }

    private static String headAt(String text, int start) {
        return text.substring(start, Math.min(text.length(), start + MAX_HEAD_BYTES));
    }

    /** Judges text that begins with a status line, by its complete lines. */
    private Verdict judgeHead(String text, boolean ended) {
        int end = text.indexOf(HEAD_END);
        boolean whole = end >= 0;
        if (!whole && !ended && text.length() < MAX_HEAD_BYTES) {
            return Verdict.UNDECIDED;
        }
        String lines = text.substring(0, Math.max(0, whole ? end : text.lastIndexOf(LINE_END)));
        List<Header> fields = lines.lines().skip(1).map(RepeatedHeadFilter::field).toList();
        boolean named = fields.stream().anyMatch(this::namesRequest);
        return named || hasOwnFields(fields, whole) ? Verdict.REPEATED : Verdict.QUOTE;
    }

    private static Header field(String line) {
        int colon = line.indexOf(':');
        return colon < 0
                ? new Header(line, "")
                : new Header(line.substring(0, colon), line.substring(colon + 1).strip());
    }

    private boolean namesRequest(Header field) {
        return field.name().equalsIgnoreCase(ConnectionReuse.REQUEST_ID)
                && field.value().equals(id.value());
    }

    private boolean hasOwnFields(List<Header> fields, boolean whole) {
        boolean fits =
                whole ? fields.size() == ownFields.size() : fields.size() <= ownFields.size();
        if (fields.isEmpty() || !fits) {
            return false;
        }
        for (int i = 0; i < fields.size(); i++) {
            if (!isSameField(fields.get(i), ownFields.get(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isSameField(Header a, Header b) {
        return a.name().equalsIgnoreCase(b.name())
                && (a.value().equals(b.value())
                        || VARYING_FIELDS.stream().anyMatch(a.name()::equalsIgnoreCase));
    }
}
